import { countInFlight, listLaneLengths, tableRevision, type Core } from '@filbertlatch/core';

import type { Attainment } from '../observation/index.js';
import { dumpClasses } from './dumpClasses.js';
import type { State } from './schemas.js';

function copyRefusedTable({ revision, faults }: NonNullable<Core['table']['refused']>) {
  return { revision, faults: [...faults] };
}

/** Dumps the state of this VM; contains no prompt, key or token. */
export function dumpState(core: Core, attainment: Attainment, now: number): State {
  const { membership, table } = core;
  return {
    vm: membership.self.id,
    incarnation: membership.incarnation,
    leaving: membership.leaving,
    table: {
      revision: tableRevision(table),
      ageMs: table.heardAt === 0 ? null : now - table.heardAt,
      refused: table.refused === null ? null : copyRefusedTable(table.refused),
    },
    list: {
      revision: membership.list?.revision ?? -1,
      ageMs: membership.listReceivedAt === 0 ? null : now - membership.listReceivedAt,
      vms: membership.list?.vms.map(({ id, zone, state }) => ({ id, zone, state })) ?? [],
    },
    queues: listLaneLengths(core.admission),
    endpoints: [...(table.view?.endpoints.values() ?? [])].map(({ id, kind, slots }) => ({
      id,
      kind,
      slots,
      inFlight: countInFlight(core.placement, id),
    })),
    classes: dumpClasses(core, attainment, now),
    openRequests: core.requests.size,
    counters: Object.fromEntries(core.counters),
  };
}
