import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { createRandom, type Random } from '@filbertlatch/core';
import { drawAttemptId, formatCallHeaders, HOST, sendAttempt, type Gateway } from '#standins';

import type { SeenRequest } from './evidence.js';
import type { KeyRing } from './keyRing.js';
import { toProxied } from './links/hosts.js';
import type { TroubleKind } from './schedule.js';
import {
  ACCOUNT,
  eventsOf,
  IDLE_TIMEOUT_MS,
  kindsByRoute,
  timeoutOf,
  type RouteName,
} from './traffic.js';

const SHARE_ONCE = 0.2;
const SHARE_REPEATABLE = 0.2;

/** Shares of the requests with `callers`. */
const SHARE_LEAVING = 0.1;
const SHARE_ECHO = 0.1;
const SHARE_KEYED = 0.1;

/** Shares with `revoke` or `older`: of the requests, and of these that have a key that was revoked. */
const SHARE_KEYED_BESIDE_REVOKE = 0.2;
const SHARE_REVOKED = 0.3;

/** Shares with `mixed`, by route; the others are as without it. */
const mixedShares: readonly (readonly [RouteName, number])[] = [
  ['summary', 0.2],
  ['long', 0.1],
  ['hold', 0.25],
  ['check', 0.15],
];
const MAX_SUMMARY_BYTES = 100_000;

/** Shares of pauses after a request with `mixed`: short ones, and those that a kept connection bears. */
const SHARE_SHORT_PAUSE = 0.5;
const SHARE_LONG_PAUSE = 0.04;
const MAX_SHORT_PAUSE_MS = 500;
const MAX_LONG_PAUSE_MS = 0.75 * IDLE_TIMEOUT_MS;

const MAX_STAY_MS = 1500;
const MAX_BODY_BYTES = 1e6;
const SLOW_BYTES_PER_SECOND = 500_000;

/** Pause after an answer that is no success, so that refusals don't become a flood. */
const FAILURE_PAUSE_MS = 100;

/** How a request is sent; only with `callers` in other ways than the usual one. */
interface Manner {
  readonly route: RouteName;
  readonly bodyBytes: number;
  readonly bytesPerSecond: number;
  readonly leaveAfterMs: number | null;
}

const usualManner = { bodyBytes: 0, bytesPerSecond: Infinity, leaveAfterMs: null };

function drawRoute(random: Random, trouble: readonly TroubleKind[]): RouteName {
  const draw = random.next();
  if (draw < SHARE_ONCE) return 'once';
  if (draw < SHARE_ONCE + SHARE_REPEATABLE) return 'repeatable';
  return trouble.includes('unframed') && random.next() < 0.5 ? 'unframed' : 'stream';
}

function hasRevokedKeys(trouble: readonly TroubleKind[]): boolean {
  return trouble.includes('revoke') || trouble.includes('older');
}

function drawMixed(random: Random): RouteName | null {
  let draw = random.next();
  const found = mixedShares.find(([, share]) => {
    draw -= share;
    return draw < 0;
  });
  return found === undefined ? null : found[0];
}

function drawPauseMs(random: Random): number {
  const draw = random.next();
  if (draw < SHARE_LONG_PAUSE) return random.next() * MAX_LONG_PAUSE_MS;
  return draw < SHARE_LONG_PAUSE + SHARE_SHORT_PAUSE ? random.next() * MAX_SHORT_PAUSE_MS : 0;
}

function drawManner(random: Random, trouble: readonly TroubleKind[]): Manner {
  const mixed = trouble.includes('mixed') ? drawMixed(random) : null;
  if (mixed !== null) {
    const bodyBytes = mixed === 'summary' ? Math.ceil(random.next() * MAX_SUMMARY_BYTES) : 0;
    const leaveAfterMs = timeoutOf(mixed);
    return { ...usualManner, route: mixed, bodyBytes, leaveAfterMs };
  }
  const route = drawRoute(random, trouble);
  if (hasRevokedKeys(trouble) && random.next() < SHARE_KEYED_BESIDE_REVOKE) {
    return { ...usualManner, route: 'keyed' };
  }
  if (!trouble.includes('callers')) return { ...usualManner, route };
  const draw = random.next();
  if (draw < SHARE_LEAVING) {
    return { ...usualManner, route, leaveAfterMs: random.next() * MAX_STAY_MS };
  }
  if (draw < SHARE_LEAVING + SHARE_ECHO) {
    const bodyBytes = Math.ceil(random.next() * MAX_BODY_BYTES);
    const bytesPerSecond = random.next() < 0.5 ? SLOW_BYTES_PER_SECOND : Infinity;
    return { ...usualManner, route: 'echo', bodyBytes, bytesPerSecond };
  }
  return draw < 1 - SHARE_KEYED ? { ...usualManner, route } : { ...usualManner, route: 'keyed' };
}

/** Reads the events of a stream that bear the id of its request; one that is cut off has not arrived. */
function readEvents(text: string, requestId: string): Pick<SeenRequest, 'events' | 'versions'> {
  const events = [...text.matchAll(/^id: (\d+)\ndata: (\S+) \d+ of \d+ (\S*)\n\n/gm)].filter(
    ([, , id]) => id === requestId,
  );
  return {
    events: events.map(([, number]) => Number(number)),
    versions: [...new Set(events.map(([, , , version]) => version as string))],
  };
}

/** A caller that sends one request after the other and keeps a connection to each VM. */
export class Caller {
  readonly requests: SeenRequest[] = [];

  #sent = 0;

  readonly #random: Random;

  readonly #agents: readonly Agent[];

  constructor(
    readonly index: number,
    readonly gateways: readonly Gateway[],
    readonly options: {
      readonly seed: number;
      readonly trouble: readonly TroubleKind[];
      /** Host that the connections come from, by the proxy of the links; null for none. */
      readonly host: string | null;
      readonly keyRing: KeyRing;
    },
  ) {
    this.#random = createRandom(options.seed * 10_007 + index);
    const source = options.host === null ? {} : { localAddress: options.host };
    this.#agents = gateways.map(() => new Agent({ keepAlive: true, maxSockets: 1, ...source }));
  }

  /** Sends requests until an instant; resolves when the last one has ended. */
  async run(until: number): Promise<void> {
    const home = this.index % this.gateways.length;
    let vm = home;
    while (Date.now() < until) {
      const request = await this.#send(vm, drawManner(this.#random, this.options.trouble));
      this.requests.push(request);
      // The next VM serves while the process is away.
      vm = request.answer === 'none' ? (vm + 1) % this.gateways.length : home;
      if (request.answer !== 'whole' || request.status !== 200) await sleep(FAILURE_PAUSE_MS);
      else if (this.options.trouble.includes('mixed')) await sleep(drawPauseMs(this.#random));
    }
    this.#agents.forEach((agent) => agent.destroy());
  }

  async #send(vm: number, { route, bodyBytes, ...manner }: Manner): Promise<SeenRequest> {
    const gateway = this.gateways[vm] as Gateway;
    const name = `${this.index}-${this.#sent}`;
    this.#sent += 1;
    const key = this.#chooseKey();
    const timeoutMs = timeoutOf(route);
    const dueEvents = eventsOf(route);
    const body =
      bodyBytes === 0 ? `{"prompt":"${name}"}` : `${name} `.repeat(bodyBytes / name.length);
    const { text, ...outcome } = await sendAttempt(
      this.options.host === null ? gateway.listen.front : toProxied(gateway.listen.front),
      {
        method: route === 'check' ? 'GET' : 'POST',
        host: HOST,
        path: `/${route}/${name}`,
        headers: formatCallHeaders({
          id: drawAttemptId(),
          timeoutMs,
          promptTokens: 600,
          outputTokens: 120,
          segments: { a1: 400, [`b${name}`]: 200 },
          key,
        }),
        body: route === 'check' ? null : body,
        ...manner,
        channel: this.#agents[vm],
      },
    );
    const { id, status, answer } = outcome;
    const kind = kindsByRoute[route];
    const isRight = route !== 'echo' || answer !== 'whole' || status !== 200 || text === body;
    const seen = dueEvents > 0 ? readEvents(text, id) : { events: [], versions: [] };
    const usedKey = route === 'keyed' ? key : null;
    const call = { kind, vm: gateway.name, timeoutMs, dueEvents, key: usedKey };
    return { ...outcome, ...seen, ...call, isRight };
  }

  #chooseKey(): string {
    const { trouble, keyRing } = this.options;
    if (!hasRevokedKeys(trouble)) return ACCOUNT.key;
    const { current, latestRevoked } = keyRing;
    return this.#random.next() < SHARE_REVOKED && latestRevoked !== null ? latestRevoked : current;
  }
}
