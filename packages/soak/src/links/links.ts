import { fork, type ChildProcess } from 'node:child_process';

import type { Harm, LinkPattern, Side } from './harm.js';
import { hostOfVm } from './hosts.js';

/** What the proxy's process is told. */
export type ProxyCall =
  | { readonly kind: 'open'; readonly address: string; readonly host: string | null }
  | { readonly kind: 'close'; readonly address: string }
  | {
      readonly kind: 'harm';
      readonly links: readonly LinkPattern[];
      readonly harm: Harm;
      readonly forMs: number;
    };

/** Direction in which a VM's link is harmed, as the VM sees it. */
export type Direction = 'both' | 'out' | 'in';

/** A VM's addresses that others connect to. */
export interface VmAddresses {
  readonly index: number;
  readonly front: string;
  readonly control: string;
}

function sidesOf(direction: Direction, isOwn: boolean): readonly Side[] {
  if (direction === 'both') return ['forward', 'backward'];
  return (direction === 'out') === isOwn ? ['forward'] : ['backward'];
}

/** Returns the links that a VM has to an address. */
export function linksTo(vm: VmAddresses, address: string, direction: Direction): LinkPattern[] {
  return [{ from: hostOfVm(vm.index), to: address, sides: sidesOf(direction, true) }];
}

/** Returns the links between a VM and a peer, in whichever direction they were opened. */
export function linksToPeer(
  vm: VmAddresses,
  peer: VmAddresses,
  direction: Direction,
): LinkPattern[] {
  const back = { from: hostOfVm(peer.index), to: vm.control, sides: sidesOf(direction, false) };
  return [...linksTo(vm, peer.control, direction), back];
}

/** Returns the links between a VM and its callers, or one of them. */
export function linksToCallers(
  vm: VmAddresses,
  caller: string | null,
  direction: Direction,
): LinkPattern[] {
  return [{ from: caller, to: vm.front, sides: sidesOf(direction, false) }];
}

/** Returns all links of a VM. */
export function linksOf(vm: VmAddresses, direction: Direction): LinkPattern[] {
  return [
    { from: hostOfVm(vm.index), to: null, sides: sidesOf(direction, true) },
    { from: null, to: vm.control, sides: sidesOf(direction, false) },
    ...linksToCallers(vm, null, direction),
  ];
}

/** The process through which all links go. */
export class Links {
  readonly #process: ChildProcess = fork(new URL('./proxyProcess.js', import.meta.url));

  /** What waits until an address has been opened or closed. */
  readonly #waiting = new Map<string, () => void>();

  /** Rejects when the process ends by itself. */
  readonly failure = new Promise<never>((_, reject) => {
    this.#process.on('exit', () => reject(new Error('the proxy of the links has ended')));
  });

  constructor() {
    this.#process.on('message', (address: string) => this.#waiting.get(address)?.());
    this.failure.catch(() => {});
  }

  /** Lets the proxy stand for an address; one with a host gets datagrams too, and sends them from it. */
  open(address: string, host: string | null = null): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.set(address, resolve);
      this.#send({ kind: 'open', address, host });
    });
  }

  /** Lets the proxy refuse connections to an address, as the system does once its process has ended. */
  close(address: string): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.set(address, resolve);
      this.#send({ kind: 'close', address });
    });
  }

  /** Harms links for a time. */
  harm(links: readonly LinkPattern[], harm: Harm, forMs: number): void {
    this.#send({ kind: 'harm', links, harm, forMs });
  }

  /** Ends the process. */
  stop(): void {
    this.#process.kill('SIGKILL');
  }

  #send(call: ProxyCall): void {
    this.#process.send(call);
  }
}
