import * as z from 'zod';

/** Shape of one VM in the published list. */
export const vmSchema = z.strictObject({
  id: z.string().min(1).max(64),
  peerUrl: z.url({ protocol: /^https?$/ }),
  zone: z.string().min(1),
  region: z.string().min(1),
  state: z.enum(['live', 'leaving']).default('live'),
});

/** A VM that runs the router. */
export type Vm = z.infer<typeof vmSchema>;

/** Shape of the published list of VMs. */
export const vmListSchema = z.strictObject({
  revision: z.number().int().nonnegative(),
  vms: z.array(vmSchema),
  leavingEndpoints: z.array(z.string()).default([]).describe('Endpoints about to stop.'),
});

/** The published list of the fleet's VMs, authoritative for membership. */
export type VmList = z.infer<typeof vmListSchema>;

/** Lists the VMs that are published as live; none before the first list. */
export function listLiveVms(list: VmList | null): Vm[] {
  return (list?.vms ?? []).filter((vm) => vm.state === 'live');
}

/** Lists the live VMs of a region, or all live VMs when the region has none. */
export function listVmsNear(list: VmList, region: string): Vm[] {
  const live = listLiveVms(list);
  const near = live.filter((vm) => vm.region === region);
  return near.length > 0 ? near : live;
}
