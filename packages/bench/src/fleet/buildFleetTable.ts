import { createHash } from 'node:crypto';

import { checkTable, type Table } from '@filbertlatch/core';

/** How large the table of a fleet is. */
export interface FleetSize {
  readonly accounts: number;
  readonly models: number;
  readonly runners: number;
  readonly zones: number;
}

/** The size of two years on. */
export const FULL_SIZE: FleetSize = { accounts: 16_000, models: 39, runners: 860, zones: 6 };

const ZONES_PER_REGION = 3;
const SLOTS = 32;

const target = { firstTokenMs: 330, betweenTokensMs: 33, wholeMs: 20_000 };

/** Returns zone and region of the member with a number. */
export function placeOf(index: number, zones: number): { zone: string; region: string } {
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

function listRunners(size: FleetSize, runnerUrl: string) {
  return Array.from({ length: size.runners }, (_, index) => ({
    ...placeOf(index, size.zones),
    id: `runner-${index}`,
    kind: 'engine',
    url: runnerUrl,
    slots: SLOTS,
    models: [`model-${index % size.models}`],
    accelerators: 8,
    fencing: 'checked',
  }));
}

/** Builds a table of a size, whose runners all answer at one address. Throws TypeError. */
export function buildFleetTable(size: FleetSize, revision: number, runnerUrl: string): Table {
  const checked = checkTable({
    revision,
    classes: [
      // The weight tells revisions apart, as an operator's edit of one cell does.
      { id: 'headline', tier: 'critical', share: 0.2, weight: revision, target },
      { id: 'bulletin', tier: 'standard', share: 0.2, target },
      { id: 'summary', tier: 'background', share: 0.1, preemptible: true, target },
    ],
    accounts: listAccounts(size.accounts),
    models: Array.from({ length: size.models }, (_, index) => ({ id: `model-${index}` })),
    endpoints: listRunners(size, runnerUrl),
    limits: [],
  });
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}

/** Returns a table with one account changed, as an operator's edit of one row does. */
export function editAccount(table: Table, revision: number): Table {
  const accounts = table.accounts.map((account, index) =>
    index === revision % table.accounts.length ? { ...account, weight: revision } : account,
  );
  return { ...table, revision, accounts };
}
