import { UsageError } from '../shared/index.js';
import type { Column } from './columns.js';

const LIST_SEPARATOR = ';';
/** Cell of an empty list; an empty cell is an absent field. */
const EMPTY_LIST = '[]';
const booleans: Readonly<Record<string, boolean>> = { true: true, false: false };

// Spreadsheets evaluate cells that begin with these characters as formulas; a leading quote prevents it.
const FORMULA = /^[=+\-@\t\r]/;
const QUOTED_FORMULA = /^'[=+\-@\t\r]/;

type Row = Record<string, unknown>;

/** Returns the value at a column’s dotted path, or undefined. */
export function readField(row: Row, name: string): unknown {
  return name.split('.').reduce<unknown>((value, part) => (value as Row | undefined)?.[part], row);
}

/** Sets the value at a column’s dotted path, creating the objects between. */
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
  if (texts.some((text) => text === '' || text.includes(LIST_SEPARATOR) || text === EMPTY_LIST)) {
    throw new UsageError(`${column.name}: ${JSON.stringify(items)} cannot be written as one cell`);
  }
  return texts.join(LIST_SEPARATOR);
}

/** Formats a value as a cell; an absent value becomes an empty cell. Throws UsageError. */
export function formatCell(value: unknown, column: Column): string {
  if (value === undefined) return '';
  const text = Array.isArray(value) ? formatList(value, column) : String(value);
  return FORMULA.test(text) ? `'${text}` : text;
}

/** Parses a cell. Text that is not of the column’s type stays text, so that the table check reports it. */
export function parseCell(cell: string, { type }: Column): unknown {
  const text = QUOTED_FORMULA.test(cell) ? cell.slice(1) : cell;
  if (type === 'list') return text === EMPTY_LIST ? [] : text.split(LIST_SEPARATOR);
  if (type === 'number') return Number.isNaN(Number(text)) ? text : Number(text);
  if (type === 'boolean') return booleans[text.toLowerCase()] ?? text;
  return text;
}
