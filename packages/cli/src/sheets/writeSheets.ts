import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { isDeepStrictEqual } from 'node:util';

import { checkTable, sheetNames, type SheetName, type Table } from '@filbertlatch/core';
import { stringify } from 'csv-stringify/sync';

import { UsageError } from '../shared/index.js';
import { formatCell, readField } from './cells.js';
import { listSheetColumns } from './columns.js';
import { readSheets } from './readSheets.js';

function formatSheet(sheet: SheetName, rows: readonly Record<string, unknown>[]): string {
  const columns = listSheetColumns(sheet);
  const head = columns.map(({ name }) => name);
  const cells = rows.map((row) =>
    columns.map((column) => formatCell(readField(row, column.name), column)),
  );
  return stringify([head, ...cells]);
}

/**
 * Writes a table as CSV, one file a sheet, and reads it back to check that no value was lost.
 * Returns the paths. Throws UsageError.
 */
export async function writeSheets(table: Table, folder: string): Promise<string[]> {
  await mkdir(folder, { recursive: true });
  const sheets: [string, string][] = [
    ['revision', stringify([['revision'], [table.revision]])],
    ...sheetNames.map((name): [string, string] => [name, formatSheet(name, table[name])]),
  ];
  const files = sheets.map(([name]) => join(folder, `${name}.csv`));
  await Promise.all(sheets.map(([, text], index) => writeFile(files[index]!, text)));
  const checkedCopy = checkTable(await readSheets(folder));
  if (checkedCopy.ok && isDeepStrictEqual(checkedCopy.value, table)) return files;
  throw new UsageError(`${folder}: the table has values that CSV cells cannot represent`);
}
