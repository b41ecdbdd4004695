import type { z } from 'zod';

import { sheetSchemas, tableSchema, type SheetName, type Table } from '../types/index.js';

/** A validation error in a table or in settings. */
export interface Fault {
  /** Path of the value, such as `classes[2].share`. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** Result of a check: the typed value, or all faults found. */
export type CheckResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly faults: readonly Fault[] };

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text === '' ? String(part) : `${text}.${String(part)}`;
  }, '');
}

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, part) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[part]
        : undefined,
    root,
  );
}

/** Maximum length of a found value in a fault; the rest is cut off. */
const MAX_FOUND_CHARACTERS = 60;

function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  return (JSON.stringify(value) ?? typeof value).slice(0, MAX_FOUND_CHARACTERS);
}

/** Converts zod's issues into faults with path, expectation and the value found in `root`. */
export function listFaults(issues: readonly z.core.$ZodIssue[], root: unknown): Fault[] {
  return issues.map((issue) => ({
    path: formatPath(issue.path) || '(root)',
    expected: issue.message,
    found: describeValue(valueAt(root, issue.path)),
  }));
}

/** Checks a value against a zod schema. */
export function checkShape<S extends z.ZodType>(
  schema: S,
  value: unknown,
): CheckResult<z.infer<S>> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return { ok: true, value: parsed.data };
  return { ok: false, faults: listFaults(parsed.error.issues, value) };
}

function findDuplicateIds(sheet: string, ids: readonly string[]): Fault[] {
  const seen = new Set<string>();
  return ids.flatMap((id, index) => {
    if (!seen.has(id)) {
      seen.add(id);
      return [];
    }
    return [{ path: `${sheet}[${index}].id`, expected: 'an id used once', found: id }];
  });
}

function findUnknownReferences(table: Table): Fault[] {
  const classIds = new Set(table.classes.map((row) => row.id));
  const accountIds = new Set(table.accounts.map((row) => row.id));
  const modelIds = new Set(table.models.map((row) => row.id));
  const faults: Fault[] = [];
  table.accounts.forEach((account, index) => {
    [account.defaultClass, ...(account.classes ?? [])]
      .filter((id) => !classIds.has(id))
      .forEach((found) => {
        faults.push({ path: `accounts[${index}]`, expected: 'a class in the table', found });
      });
  });
  table.endpoints.forEach((endpoint, index) => {
    if (endpoint.kind !== 'engine') return;
    endpoint.models
      .filter((id) => !modelIds.has(id))
      .forEach((found) => {
        const path = `endpoints[${index}].models`;
        faults.push({ path, expected: 'a model in the table', found });
      });
  });
  table.limits.forEach((limit, index) => {
    const path = `limits[${index}]`;
    if (limit.class === undefined && limit.account === undefined) {
      faults.push({ path, expected: 'a class or an account', found: 'neither' });
    }
    if (limit.class !== undefined && !classIds.has(limit.class)) {
      faults.push({ path, expected: 'a class in the table', found: limit.class });
    }
    if (limit.account !== undefined && !accountIds.has(limit.account)) {
      faults.push({ path, expected: 'an account in the table', found: limit.account });
    }
  });
  return faults;
}

/** Shares are parts of a pool's capacity. */
const MAX_SHARE_SUM = 1;

function findShareFaults(table: Table): Fault[] {
  const sum = table.classes.reduce((total, row) => total + row.share, 0);
  // The margin allows for rounding errors of the sum.
  if (sum <= MAX_SHARE_SUM + Number.EPSILON * table.classes.length) return [];
  return [{ path: 'classes', expected: 'shares that add up to at most 1', found: `${sum}` }];
}

const sheetsWithIds = ['classes', 'accounts', 'models', 'endpoints', 'limits'] as const;

/** Checks rules that span rows and sheets: unique ids, references and the sum of class shares. */
export function checkReferences(table: Table): Fault[] {
  const duplicates = sheetsWithIds.flatMap((sheet) =>
    findDuplicateIds(
      sheet,
      table[sheet].map((row) => row.id),
    ),
  );
  return [...duplicates, ...findUnknownReferences(table), ...findShareFaults(table)];
}

/** Checks a whole table: the schema of each row, then the rules that span rows and sheets. */
export function checkTable(value: unknown): CheckResult<Table> {
  const parsed = checkShape(tableSchema, value);
  if (!parsed.ok) return parsed;
  const faults = checkReferences(parsed.value);
  return faults.length === 0 ? { ok: true, value: parsed.value } : { ok: false, faults };
}

/** Checks the rows of one sheet, or of one shard such as `accounts/3`, against their schema. */
export function checkSheet(name: string, rows: unknown): CheckResult<readonly unknown[]> {
  const checked = checkShape(sheetSchemas[name.split('/')[0] as SheetName], rows);
  if (checked.ok) return checked;
  const faults = checked.faults.map((fault) => ({
    ...fault,
    path: fault.path === '(root)' ? name : `${name}${fault.path}`,
  }));
  return { ok: false, faults };
}
