import { Socket } from 'node:dgram';

import type { Random } from '@filbertlatch/core';

type Send = typeof Socket.prototype.send;

const { send } = Socket.prototype;

const networks = new Set<PeerNetwork>();

/** Loses messages between the VMs of a test. */
export class PeerNetwork {
  readonly #random: Random;

  readonly #loss: number;

  readonly #addresses = new Set<string>();

  readonly #cutOff = new Set<string>();

  /** `loss` is the probability that a message is lost. */
  constructor(random: Random, loss: number) {
    this.#random = random;
    this.#loss = loss;
  }

  /** Begins to lose messages that the VMs with these control addresses send. */
  start(addresses: readonly string[]): void {
    addresses.forEach((address) => this.#addresses.add(address));
    networks.add(this);
    Socket.prototype.send = function sendUnlessLost(this: Socket, ...parameters: unknown[]) {
      const { address, port } = this.address();
      const [, toPort, toAddress] = parameters as [unknown, number, string];
      const from = `${address}:${port}`;
      const isLost = [...networks].some((network) =>
        network.isLost(from, `${toAddress}:${toPort}`),
      );
      if (!isLost) send.apply(this, parameters as Parameters<Send>);
    } as Send;
  }

  /** Ends the loss of messages. */
  stop(): void {
    networks.delete(this);
    if (networks.size === 0) Socket.prototype.send = send;
  }

  /** Loses all messages to and from a VM. */
  cutOff(address: string): void {
    this.#cutOff.add(address);
  }

  /** Ends the loss of all messages to and from a VM. */
  rejoin(address: string): void {
    this.#cutOff.delete(address);
  }

  /** Says whether the next message between two addresses is lost. */
  isLost(from: string, to: string): boolean {
    if (!this.#addresses.has(from)) return false;
    if (this.#cutOff.has(from) || this.#cutOff.has(to)) return true;
    return this.#loss > 0 && this.#random.next() < this.#loss;
  }
}
