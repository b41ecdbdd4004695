import { sheetSchemas, type SheetName } from '@filbertlatch/core';
import * as z from 'zod';

/** Type of the values in a column. */
export type ColumnType = 'text' | 'number' | 'boolean' | 'list';

/** A column of a sheet; its name is the dotted path of a field, such as `target.wholeMs`. */
export interface Column {
  readonly name: string;
  readonly type: ColumnType;
}

/** The keywords of JSON Schema that columns depend on. */
interface JsonSchema {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly oneOf?: readonly JsonSchema[];
  readonly anyOf?: readonly JsonSchema[];
  readonly items?: JsonSchema;
}

function toColumnType({ type }: JsonSchema): ColumnType {
  if (type === 'number' || type === 'integer') return 'number';
  if (type === 'boolean') return 'boolean';
  return type === 'array' ? 'list' : 'text';
}

function listColumns(shape: JsonSchema, prefix = ''): Column[] {
  const variants = shape.oneOf ?? shape.anyOf;
  if (variants !== undefined) return variants.flatMap((variant) => listColumns(variant, prefix));
  return Object.entries(shape.properties ?? {}).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    if (field.properties !== undefined) return listColumns(field, `${path}.`);
    return [{ name: path, type: toColumnType(field) }];
  });
}

/** Lists the columns of a sheet in the order of its schema, each once. */
export function listSheetColumns(sheet: SheetName): Column[] {
  const shape = z.toJSONSchema(sheetSchemas[sheet], { io: 'input' }) as JsonSchema;
  const columns = listColumns(shape.items ?? {});
  return [...new Map(columns.map((column) => [column.name, column])).values()];
}
