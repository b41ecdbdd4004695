import { readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { sheetNames, type SheetName } from '@filbertlatch/core';
import { parse } from 'csv-parse/sync';

import { describeUnknown, UsageError } from '../shared/index.js';
import { parseCell, setField } from './cells.js';
import { listSheetColumns } from './columns.js';

type Row = Record<string, unknown>;

async function readCells(path: string): Promise<string[][]> {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (cause) {
    throw new UsageError(`${path}: cannot be read`, { cause });
  }
  try {
    return parse(text, { bom: true, skip_empty_lines: true });
  } catch (cause) {
    throw new UsageError(`${path}: ${(cause as Error).message}`, { cause });
  }
}

async function readSheet(folder: string, sheet: SheetName): Promise<Row[]> {
  const path = join(folder, `${sheet}.csv`);
  const [head = [], ...lines] = await readCells(path);
  const columns = new Map(listSheetColumns(sheet).map((column) => [column.name, column]));
  const unknown = head.find((name) => !columns.has(name));
  if (unknown !== undefined) {
    throw new UsageError(`${path}: ${describeUnknown('column', unknown, [...columns.keys()])}`);
  }
  return lines.map((cells) => {
    const row: Row = {};
    cells.forEach((cell, index) => {
      const column = columns.get(head[index]!)!;
      if (cell !== '') setField(row, column.name, parseCell(cell, column));
    });
    return row;
  });
}

/** Reads a table from the CSV files in a folder, without checking its values. Throws UsageError. */
export async function readSheets(folder: string): Promise<Row> {
  const [, line] = await readCells(join(folder, 'revision.csv'));
  const table: Row = { revision: Number(line?.[0] ?? Number.NaN) };
  for (const sheet of sheetNames) table[sheet] = await readSheet(folder, sheet);
  return table;
}
