import type { PeerCall, PeerReply, Vm } from '@filbertlatch/core';
import { JSONRPCClient } from 'json-rpc-2.0';
import { Agent, request } from 'undici';

import { PeerError } from '../errors/index.js';
import type { ControlTraffic } from '../metrics/index.js';
import type { Credentials, TlsMaterial } from '../security/index.js';

const CALL_TIMEOUT_MS = 1000;

function createAgent(tls: TlsMaterial | null): Agent {
  return new Agent({ connections: 4, connect: { timeout: CALL_TIMEOUT_MS, ...tls } });
}

/** Calls other VMs: json-rpc-2.0 over kept-alive HTTP. */
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

  /** Uses the credentials in force for new connections; calls on the old ones end first. */
  renew(): void {
    const old = this.#agent;
    this.#agent = createAgent(this.#readCredentials().peerTls);
    void old.close();
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #headers(): Record<string, string> {
    const key = this.#readCredentials().peerKeys[0];
    const type = { 'content-type': 'application/json' };
    return key === undefined ? type : { ...type, authorization: `Bearer ${key}` };
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
    const body = JSON.stringify(payload);
    this.#traffic.add('peers', 'sent', Buffer.byteLength(body));
    const response = await request(`${url}/rpc`, {
      method: 'POST',
      dispatcher: this.#agent,
      headersTimeout: CALL_TIMEOUT_MS,
      headers: this.#headers(),
      body,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new PeerError(`status ${response.statusCode}`);
    }
    const text = await response.body.text();
    this.#traffic.add('peers', 'received', Buffer.byteLength(text));
    return JSON.parse(text);
  }
}
