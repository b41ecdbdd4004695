import { setTimeout as sleep } from 'node:timers/promises';

import type { Fleet } from './createFleet.js';
import type { Fault } from './scenario.js';

const MS_PER_SECOND = 1000;

type EngineFault = Extract<Fault, { kind: 'engine' }>;
type VmLostFault = Extract<Fault, { kind: 'vm-lost' }>;

function setEngineSwitches(fleet: Fleet, fault: EngineFault): void {
  const engine = fleet.engines.find(({ id }) => id === fault.engine);
  if (engine === undefined) throw new TypeError(`there is no engine ${fault.engine}`);
  const unknown = Object.keys(fault.switches).find((name) => !(name in engine.switches));
  if (unknown !== undefined) throw new TypeError(`an engine has no switch ${unknown}`);
  Object.assign(engine.switches, fault.switches);
}

async function loseVm(fleet: Fleet, fault: VmLostFault, signal: AbortSignal): Promise<void> {
  const entry = fleet.entries.find(({ id }) => id === fault.vm);
  if (entry === undefined) throw new TypeError(`there is no VM ${fault.vm}`);
  await entry.stop();
  await sleep(fault.listedSeconds * MS_PER_SECOND, undefined, { signal });
  fleet.publishListWithout([fault.vm]);
}

/**
 * Applies each fault at its second after the call; resolves when all are applied. Rejects with
 * TypeError on an unknown engine, switch or VM, and with AbortError when `signal` aborts.
 */
export async function applyFaults(
  fleet: Fleet,
  faults: readonly Fault[],
  signal: AbortSignal,
): Promise<void> {
  const apply = async (fault: Fault) => {
    await sleep(fault.atSecond * MS_PER_SECOND, undefined, { signal });
    if (fault.kind === 'engine') setEngineSwitches(fleet, fault);
    else await loseVm(fleet, fault, signal);
  };
  await Promise.all(faults.map(apply));
}
