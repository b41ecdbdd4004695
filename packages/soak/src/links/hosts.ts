import { fileURLToPath } from 'node:url';

import { OWN_HOST_URL } from '#standins';

/** The proxy stands for a port at one that is higher by this: as many as the stand-ins draw from. */
const PROXY_PORT_OFFSET = 6_000;

function formatHost(group: number, index: number): string {
  return `127.${group}.${Math.floor((index + 1) / 256)}.${(index + 1) % 256}`;
}

/** Returns the host that the connections of a VM come from; all of them lead to 127.0.0.1. */
export function hostOfVm(index: number): string {
  return formatHost(1, index);
}

/** Returns the host that the connections of a caller come from. */
export function hostOfCaller(index: number): string {
  return formatHost(2, index);
}

/** Returns the address at which the proxy stands for another one. */
export function toProxied(address: string): string {
  const [host = '', port] = address.split(':');
  return `${host}:${Number(port) + PROXY_PORT_OFFSET}`;
}

/** How the processes of VMs are started so that their connections go by the proxy. */
export const network = {
  preload: fileURLToPath(OWN_HOST_URL),
  createEnvironment: (index: number) => ({
    SOAK_OWN_HOST: hostOfVm(index),
    SOAK_PROXY_PORT_OFFSET: String(PROXY_PORT_OFFSET),
  }),
};
