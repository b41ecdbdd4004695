import type { PeerCall, PeerReply, Vm } from '@filbertlatch/core';
import { JSONRPCClient } from 'json-rpc-2.0';
import { Agent, request } from 'undici';

import { PeerError } from '../errors/index.js';

const CALL_TIMEOUT_MS = 1000;

/** Calls other VMs: json-rpc-2.0 over kept-alive HTTP. */
export class PeerClient {
  readonly #sharedKey: string;

  readonly #agent = new Agent({ connections: 4, connect: { timeout: CALL_TIMEOUT_MS } });

  readonly #clients = new Map<string, JSONRPCClient>();

  constructor(sharedKey: string) {
    this.#sharedKey = sharedKey;
  }

  /** Calls a peer. Throws PeerError when it does not answer in time. */
  async call(peer: Vm, call: PeerCall): Promise<PeerReply> {
    const { method, ...params } = call;
    try {
      const client = this.#clientFor(peer.peerUrl).timeout(CALL_TIMEOUT_MS);
      return (await client.request(method, params)) as PeerReply;
    } catch (cause) {
      throw new PeerError(`${peer.id} did not answer ${method}`, { cause });
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #clientFor(url: string): JSONRPCClient {
    let client = this.#clients.get(url);
    if (client === undefined) {
      const created: JSONRPCClient = new JSONRPCClient((payload) =>
        this.#send(url, payload).then((reply) => created.receive(reply as never)),
      );
      client = created;
      this.#clients.set(url, client);
    }
    return client;
  }

  async #send(url: string, payload: unknown): Promise<unknown> {
    const response = await request(`${url}/rpc`, {
      method: 'POST',
      dispatcher: this.#agent,
      headersTimeout: CALL_TIMEOUT_MS,
      headers: {
        authorization: `Bearer ${this.#sharedKey}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify(payload),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new PeerError(`status ${response.statusCode}`);
    }
    return response.body.json();
  }
}
