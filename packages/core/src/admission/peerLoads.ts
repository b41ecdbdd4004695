import { tierRank, tiers, type Class, type ClassLoad } from '../types/index.js';
import type { PeerDemand, PeerDemands } from './state.js';

const MS_PER_SECOND = 1000;

function demandFor(peers: PeerDemands, pool: string): PeerDemand {
  let demand = peers.pools.get(pool);
  if (demand === undefined) {
    demand = { waitingByRank: tiers.map(() => 0), waitingByClass: new Map(), servedPerMs: 0 };
    peers.pools.set(pool, demand);
  }
  return demand;
}

/** Adds one peer's load to the sums. */
export function addPeerLoad(
  peers: PeerDemands,
  load: ClassLoad,
  classes: ReadonlyMap<string, Class>,
): void {
  const row = classes.get(load.classId);
  if (row === undefined) return;
  const demand = demandFor(peers, load.pool);
  demand.waitingByRank[tierRank(row.tier)]! += load.waiting;
  const before = demand.waitingByClass.get(load.classId) ?? 0;
  demand.waitingByClass.set(load.classId, before + load.waitingTokens);
  demand.servedPerMs += load.servedTokensPerSecond / MS_PER_SECOND;
}
