import { digestText } from '../shared/index.js';
import type { Manifest } from '../types/index.js';

/**
 * A revision of the table as the platform publishes it: its manifest and the text of each sheet.
 */
export interface PublishedTable {
  readonly manifest: Manifest;
  readonly texts: ReadonlyMap<string, string>;
}

const target = { firstTokenMs: 300, betweenTokensMs: 30, wholeMs: 5000 };

/** Builds a small valid table; the `weight` of its one class tells contents apart. */
export function publishTable(
  revision: number,
  weight = revision + 1,
  changed: Readonly<Record<string, unknown>> = {},
): PublishedTable {
  const sheets: Record<string, unknown> = {
    classes: [{ id: 'headline', tier: 'critical', share: 0.2, weight, target }],
    'accounts/0': [],
    models: [{ id: 'small' }],
    endpoints: [],
    limits: [],
    ...changed,
  };
  const texts = new Map(Object.entries(sheets).map(([name, rows]) => [name, JSON.stringify(rows)]));
  const positions: Manifest['sheets'] = {};
  texts.forEach((text, name) => {
    positions[name] = { revision, digest: digestText(text) };
  });
  return { manifest: { revision, sheets: positions }, texts };
}
