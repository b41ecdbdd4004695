import { createHash } from 'node:crypto';

import { checkTable, type Table } from '@filbertlatch/core';

/** Numbers of rows in a fleet's table, and of zones over which its engines are spread. */
export interface FleetSize {
  readonly accounts: number;
  readonly models: number;
  readonly engines: number;
  readonly zones: number;
}

/** Size that the fleet is expected to have in two years. */
export const PLANNED_FLEET_SIZE: FleetSize = {
  accounts: 16_000,
  models: 39,
  engines: 860,
  zones: 6,
};

const ZONES_PER_REGION = 3;
const SLOTS_PER_ENGINE = 32;

const target = { firstTokenMs: 330, betweenTokensMs: 33, wholeMs: 20_000 };

/** Returns zone and region of the VM or engine with this index; zones are assigned in turn. */
export function locationOf(index: number, zones: number): { zone: string; region: string } {
  const zone = index % zones;
  return { zone: `zone-${zone}`, region: `region-${Math.floor(zone / ZONES_PER_REGION)}` };
}

function listAccounts(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `account-${index}`,
    keyDigest: createHash('sha256').update(`key-${index}`).digest('hex'),
    homeRegion: `region-${index % 2}`,
    defaultClass: ['headline', 'bulletin', 'summary'][index % 3],
  }));
}

function listEngines(size: FleetSize, engineUrl: string) {
  return Array.from({ length: size.engines }, (_, index) => ({
    ...locationOf(index, size.zones),
    id: `runner-${index}`,
    kind: 'engine',
    url: engineUrl,
    slots: SLOTS_PER_ENGINE,
    models: [`model-${index % size.models}`],
    accelerators: 8,
    fencing: 'checked',
  }));
}

/**
 * Builds a table of the given size whose engines all have one URL. Throws TypeError when the table
 * is invalid.
 */
export function buildFleetTable(size: FleetSize, revision: number, engineUrl: string): Table {
  const checked = checkTable({
    revision,
    classes: [
      // The weight differs by revision, as if an operator had edited one cell.
      { id: 'headline', tier: 'critical', share: 0.2, weight: revision, target },
      { id: 'bulletin', tier: 'standard', share: 0.2, target },
      { id: 'summary', tier: 'background', share: 0.1, preemptible: true, target },
    ],
    accounts: listAccounts(size.accounts),
    models: Array.from({ length: size.models }, (_, index) => ({ id: `model-${index}` })),
    endpoints: listEngines(size, engineUrl),
    limits: [],
  });
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}

/** Returns the table as a new revision with one account changed, as if an operator had edited a row. */
export function editAccount(table: Table, revision: number): Table {
  const accounts = table.accounts.map((account, index) =>
    index === revision % table.accounts.length ? { ...account, weight: revision } : account,
  );
  return { ...table, revision, accounts };
}
