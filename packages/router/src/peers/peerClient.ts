import type { PeerCall, PeerReply, Vm } from '@filbertlatch/core';
import { JSONRPCClient } from 'json-rpc-2.0';
import { request, type Agent } from 'undici';

import { createBoundedAgent, discardBody, readText } from '../bounds/index.js';
import { PeerError } from '../errors/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Credentials, TlsMaterial } from '../security/index.js';

const CALL_TIMEOUT_MS = 1000;

/** Largest answer of a peer, which hands on what the platform publishes. */
const MAX_REPLY_BYTES = 16_777_216;

function createAgent(tls: TlsMaterial | null): Agent {
  return createBoundedAgent({
    connections: 4,
    connect: { timeout: CALL_TIMEOUT_MS, ...tls },
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: CALL_TIMEOUT_MS,
    maxResponseSize: MAX_REPLY_BYTES,
  });
}

/** Calls other VMs by JSON-RPC 2.0 over persistent HTTP connections. */
export class PeerClient {
  readonly #readCredentials: () => Credentials;

  readonly #traffic: ControlTraffic;

  #agent: Agent;

  readonly #clients = new Map<string, JSONRPCClient>();

  constructor(readCredentials: () => Credentials, traffic: ControlTraffic) {
    this.#readCredentials = readCredentials;
    this.#traffic = traffic;
    this.#agent = createAgent(readCredentials().peerTls);
  }

  /** Calls a peer. Throws PeerError when the call fails or times out. */
  async call(peer: Vm, call: PeerCall): Promise<PeerReply> {
    const { method, ...params } = call;
    try {
      const client = this.#getOrCreateClient(peer.peerUrl).timeout(CALL_TIMEOUT_MS);
      return (await client.request(method, params)) as PeerReply;
    } catch (cause) {
      throw new PeerError(`${peer.id} did not answer ${method}`, { cause });
    }
  }

  /** Opens new connections with the current credentials; calls on the old ones may finish. */
  renewCredentials(): void {
    const old = this.#agent;
    this.#agent = createAgent(this.#readCredentials().peerTls);
    void old.close();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #createHeaders(): Record<string, string> {
    const key = this.#readCredentials().peerKeys[0];
    const contentType = { 'content-type': 'application/json' };
    return key === undefined ? contentType : { ...contentType, authorization: `Bearer ${key}` };
  }

  #getOrCreateClient(url: string): JSONRPCClient {
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
    const body = JSON.stringify(payload);
    this.#traffic.add('peers', 'sent', Buffer.byteLength(body));
    const response = await request(`${url}/rpc`, {
      method: 'POST',
      dispatcher: this.#agent,
      headers: this.#createHeaders(),
      body,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    if (response.statusCode !== 200) {
      await discardBody(response.body);
      throw new PeerError(`status ${response.statusCode}`);
    }
    const text = await readText(response.body, MAX_REPLY_BYTES);
    this.#traffic.add('peers', 'received', Buffer.byteLength(text));
    return JSON.parse(text);
  }
}
