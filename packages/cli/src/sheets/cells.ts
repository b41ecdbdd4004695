import { UsageError } from '../shared/index.js';
import type { Column } from './columns.js';

const SEPARATOR = ';';
const EMPTY_LIST = '[]';
const booleans: Readonly<Record<string, boolean>> = { true: true, false: false };

// A spreadsheet takes a text that begins so for a formula; the quote keeps it a text.
const FORMULA = /^[=+\-@\t\r]/;
const QUOTED_FORMULA = /^'[=+\-@\t\r]/;

type Row = Record<string, unknown>;

/** Reads the field that a column names. */
export function readField(row: Row, name: string): unknown {
  return name.split('.').reduce<unknown>((value, part) => (value as Row | undefined)?.[part], row);
}

/** Sets the field that a column names. */
export function setField(row: Row, name: string, value: unknown): void {
  const parts = name.split('.');
  const last = parts.pop()!;
  const target = parts.reduce<Row>((inner, part) => {
    inner[part] ??= {};
    return inner[part] as Row;
  }, row);
  target[last] = value;
}

function formatList(items: readonly unknown[], column: Column): string {
  if (items.length === 0) return EMPTY_LIST;
  const texts = items.map(String);
  if (texts.some((text) => text === '' || text.includes(SEPARATOR) || text === EMPTY_LIST)) {
    throw new UsageError(`${column.name}: ${JSON.stringify(items)} cannot be a cell`);
  }
  return texts.join(SEPARATOR);
}

/** Formats a field as a cell; an absent field is an empty cell. Throws UsageError. */
export function formatCell(value: unknown, column: Column): string {
  if (value === undefined) return '';
  const text = Array.isArray(value) ? formatList(value, column) : String(value);
  return FORMULA.test(text) ? `'${text}` : text;
}

/** Reads a cell back; what is no number or boolean stays a text, which the check then names. */
export function parseCell(cell: string, { type }: Column): unknown {
  const text = QUOTED_FORMULA.test(cell) ? cell.slice(1) : cell;
  if (type === 'list') return text === EMPTY_LIST ? [] : text.split(SEPARATOR);
  if (type === 'number') return Number.isNaN(Number(text)) ? text : Number(text);
  if (type === 'boolean') return booleans[text.toLowerCase()] ?? text;
  return text;
}
