import { createHash } from 'node:crypto';

import { checkTable, type Table } from '@filbertlatch/core';

/** API key of the one account. */
export const API_KEY = 'key-of-the-test-account';

const target = { firstTokenMs: 5000, betweenTokensMs: 50, wholeMs: 60_000 };
const endpointDefaults = { zone: 'zone-a', region: 'region-1', slots: 8 };

/**
 * Creates a table with one class, one account, one model and an endpoint for each URL given. Throws
 * TypeError when the table is invalid.
 */
export function createTestTable(urls: { engine?: string; service?: string }): Table {
  const engine = {
    ...endpointDefaults,
    id: 'e-1',
    kind: 'engine',
    models: ['desk'],
    fencing: 'checked',
  };
  const service = { ...endpointDefaults, id: 's-1', kind: 'service', service: 'stock' };
  const endpoints = [
    ...(urls.engine === undefined ? [] : [{ ...engine, url: urls.engine }]),
    ...(urls.service === undefined ? [] : [{ ...service, url: urls.service }]),
  ];
  const checked = checkTable({
    revision: 1,
    classes: [{ id: 'headline', tier: 'critical', share: 0.5, target }],
    accounts: [
      {
        id: 'station-1',
        keyDigest: createHash('sha256').update(API_KEY).digest('hex'),
        homeRegion: 'region-1',
        defaultClass: 'headline',
      },
    ],
    models: [{ id: 'desk' }],
    endpoints,
    limits: [],
  });
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}
