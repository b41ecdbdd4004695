import type { Gateway } from '#standins';

import type { Action } from '../schedule.js';
import type { LinkPattern } from './harm.js';
import { hostOfCaller } from './hosts.js';
import { linksOf, linksTo, linksToCallers, linksToPeer, type VmAddresses } from './links.js';

/** What links can lead to. */
export interface LinkEnds {
  readonly gateways: readonly Gateway[];
  readonly storeAddress: string;
  readonly endpoint: { readonly id: string; readonly address: string } | undefined;
  readonly callers: number;
}

/** Links of a VM, the VMs among their ends, and the names of all ends. */
export interface HarmedLinks {
  readonly patterns: readonly LinkPattern[];
  readonly vms: readonly string[];
  readonly ends: readonly string[];
}

/** Returns which links an action harms; all of the VM if there is no such end. */
export function findHarmedLinks(
  { vm, links, pick, direction }: Extract<Action, { kind: 'harm' }>,
  { gateways, storeAddress, endpoint, callers }: LinkEnds,
): HarmedLinks {
  const addressesOf = (index: number): VmAddresses => ({
    index,
    ...(gateways[index] as Gateway).listen,
  });
  const own = addressesOf(vm);
  const { name } = gateways[vm] as Gateway;
  const others = [...gateways.keys()].filter((index) => index !== vm);
  const peer = others[Math.floor(pick * others.length)];
  const vms = [name];
  if (links === 'store') {
    return { patterns: linksTo(own, storeAddress, direction), vms, ends: [name, 'store'] };
  }
  if (links === 'endpoint' && endpoint !== undefined) {
    const patterns = linksTo(own, endpoint.address, direction);
    return { patterns, vms, ends: [name, endpoint.id] };
  }
  if (links === 'peer' && peer !== undefined) {
    const both = [name, (gateways[peer] as Gateway).name];
    return { patterns: linksToPeer(own, addressesOf(peer), direction), vms: both, ends: both };
  }
  // Callers begin at the VM with their own index, modulo the VMs.
  const atVm = Math.floor((callers - vm - 1) / gateways.length) + 1;
  if (links === 'caller' && atVm > 0) {
    const caller = vm + gateways.length * Math.floor(pick * atVm);
    const patterns = linksToCallers(own, hostOfCaller(caller), direction);
    return { patterns, vms, ends: [name, `caller ${caller}`] };
  }
  return { patterns: linksOf(own, direction), vms, ends: [name] };
}
