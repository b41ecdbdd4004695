import { sheetSchemas, type SheetName } from '@filbertlatch/core';
import * as z from 'zod';

/** What the cells of a column hold. */
export type ColumnType = 'text' | 'number' | 'boolean' | 'list';

/** A column of a sheet; `target.wholeMs` is a field of a field. */
export interface Column {
  readonly name: string;
  readonly type: ColumnType;
}

interface Shape {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, Shape>>;
  readonly oneOf?: readonly Shape[];
  readonly anyOf?: readonly Shape[];
  readonly items?: Shape;
}

function typeOf({ type }: Shape): ColumnType {
  if (type === 'number' || type === 'integer') return 'number';
  if (type === 'boolean') return 'boolean';
  return type === 'array' ? 'list' : 'text';
}

function listColumns(shape: Shape, prefix = ''): Column[] {
  const variants = shape.oneOf ?? shape.anyOf;
  if (variants !== undefined) return variants.flatMap((variant) => listColumns(variant, prefix));
  return Object.entries(shape.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    if (field.properties !== undefined) return listColumns(field, `${path}.`);
    return [{ name: path, type: typeOf(field) }];
  });
}

/** Lists the columns of a sheet, as its schema has them. */
export function columnsOf(sheet: SheetName): Column[] {
  const shape = z.toJSONSchema(sheetSchemas[sheet], { io: 'input' }) as Shape;
  const columns = listColumns(shape.items ?? {});
  return [...new Map(columns.map((column) => [column.name, column])).values()];
}
