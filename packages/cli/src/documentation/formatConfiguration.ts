import { sheetNames, sheetSchemas, type SheetName } from '@filbertlatch/core';
import { settingsSchema } from '@filbertlatch/router';
import { gatewaySettingsSchema } from '@filbertlatch/router/gateway';
import * as z from 'zod';

/** The keywords of JSON Schema that the page shows. */
interface JsonSchema {
  readonly type?: string;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly description?: string;
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly oneOf?: readonly JsonSchema[];
}

const sheetDescriptions: Record<SheetName, string> = {
  classes: 'How requests of a class are served.',
  accounts: 'Who may call; published in shards `accounts/0`, `accounts/1` and so on.',
  models: 'What callers may ask for.',
  endpoints: 'Where requests are sent; a pool is all endpoints of one model or service.',
  limits: 'Rates over the whole fleet.',
};

function toJsonSchema(schema: z.ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input' }) as JsonSchema;
}

function describeRange({ minimum, exclusiveMinimum, maximum }: JsonSchema): string {
  const most = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER ? maximum : undefined;
  const parts = [
    exclusiveMinimum === undefined ? '' : `above ${exclusiveMinimum}`,
    minimum === undefined || minimum <= Number.MIN_SAFE_INTEGER ? '' : `at least ${minimum}`,
    most === undefined ? '' : `at most ${most}`,
  ];
  return parts.filter((part) => part !== '').join(', ');
}

function describeType(shape: JsonSchema): string {
  if (shape.const !== undefined) return `\`${JSON.stringify(shape.const)}\``;
  if (shape.enum !== undefined) return shape.enum.map((v) => `\`${JSON.stringify(v)}\``).join(', ');
  if (shape.type === 'array') return `list of ${describeType(shape.items ?? {})}`;
  const range = describeRange(shape);
  return range === '' ? (shape.type ?? 'any') : `${shape.type}, ${range}`;
}

function describeDefault(shape: JsonSchema, isRequired: boolean): string {
  if (shape.default !== undefined) return `\`${JSON.stringify(shape.default)}\``;
  return isRequired ? 'must be given' : 'absent';
}

function formatRows({ properties = {}, required = [] }: JsonSchema, prefix = ''): string[] {
  return Object.entries(properties).flatMap(([name, field]) => {
    const path = `${prefix}${name}`;
    if (field.properties !== undefined) {
      const isRequired = required.includes(name);
      const need = isRequired ? 'must be given' : 'absent';
      const own = `| \`${path}\` | object | ${need} | ${field.description ?? ''} |`;
      return [own, ...formatRows(field, `${path}.`)];
    }
    const fallback = describeDefault(field, required.includes(name));
    return [`| \`${path}\` | ${describeType(field)} | ${fallback} | ${field.description ?? ''} |`];
  });
}

function formatFieldTable(shape: JsonSchema): string[] {
  return [
    '| field | values | default | meaning |',
    '| --- | --- | --- | --- |',
    ...formatRows(shape),
  ];
}

function formatSheet(name: SheetName): string[] {
  const row = toJsonSchema(sheetSchemas[name]).items ?? {};
  const tables = (row.oneOf ?? [row]).flatMap((variant) => [...formatFieldTable(variant), '']);
  return [`### ${name}`, '', sheetDescriptions[name], '', ...tables];
}

/** Formats docs/CONFIGURATION.md from the schemas of the settings and the table. */
export function formatConfiguration(): string {
  return [
    '# Configuration',
    '',
    'This page is written by `npm run -s docs:configuration` from the schemas that the router checks',
    'with. `filbertlatch check FILE` names every fault of a file of either kind.',
    '',
    '## Settings of a daemon',
    '',
    'A JSON file, read once at start. Files that it names are read again when they change or on',
    'SIGHUP. Unknown fields are refused.',
    '',
    ...formatFieldTable(toJsonSchema(settingsSchema)),
    '',
    '## Settings of a gateway',
    '',
    'A JSON file; every fault of it is named at once, with exit code 2. It is looked at every two',
    'seconds and on SIGHUP; only `seeds` changes without a restart. Unknown fields are ignored.',
    "On the users' platform it is filled in from `deploy/settings.json.template`. Routes, services,",
    'accounts and limits on callers are no settings: the platform publishes them.',
    '',
    ...formatFieldTable(toJsonSchema(gatewaySettingsSchema)),
    '',
    '## The table',
    '',
    'Published by the operators, one sheet a key; in force on every VM within seconds. The whole table',
    'is checked before it is taken: every reference must name a row, and the shares of all classes add',
    'up to at most 1. A revision that fails is refused whole, and the last good one stays.',
    '',
    ...sheetNames.flatMap(formatSheet),
  ].join('\n');
}
