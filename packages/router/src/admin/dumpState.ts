import { countInFlight, listLanes, tableRevision, type Core } from '@filbertlatch/core';

/** Dumps the state of one VM; carries no prompt, key or token. */
export function dumpState(core: Core, now: number) {
  const { membership, table } = core;
  return {
    vm: membership.self,
    incarnation: membership.incarnation,
    leaving: membership.leaving,
    table: {
      revision: tableRevision(table),
      ageMs: table.heardAt === 0 ? null : now - table.heardAt,
      refused: table.refused,
    },
    list: {
      revision: membership.list?.revision ?? -1,
      ageMs: membership.listHeardAt === 0 ? null : now - membership.listHeardAt,
      vms: membership.list?.vms.map(({ id, zone, state }) => ({ id, zone, state })) ?? [],
    },
    queues: listLanes(core.admission),
    endpoints: [...(table.view?.endpoints.values() ?? [])].map(({ id, kind, slots }) => ({
      id,
      kind,
      slots,
      inFlight: countInFlight(core.placement, id),
    })),
    openRequests: core.requests.size,
    counters: Object.fromEntries(core.counters),
  };
}
