import {
  configurationVersion,
  listCrashes,
  ownDemand,
  ownPace,
  type CrashNews,
  type PartRead,
  type PeerWork,
} from '@filbertlatch/core';
import * as z from 'zod';

import type { GatewayState } from './gatewayState.js';

const count = z.number().min(0).max(1e9);
const instant = z.number().min(0).describe('Epoch milliseconds.');
const text = z.string().min(1).max(256);

/** What one VM tells the others several times a second; hints, never authority. */
export const gossipMessageSchema = z.object({
  vmId: text,
  address: text,
  isLeaving: z.boolean(),
  hasStore: z.boolean(),
  configurationVersion: z.number().int(),
  directoryRevision: z.number().int(),
  /** Endpoint, waiting requests, streaming requests, waiting tokens, held tokens, tight ones. */
  loads: z.array(z.tuple([text, count, count, count, count, count])).max(4096),
  /** Endpoint; sum of observed by expected times and their number, of first events and steps. */
  paces: z.array(z.tuple([text, count, count, count, count])).max(4096),
  /** Service, engines for decode. */
  borders: z.array(z.tuple([text, count])).max(256),
  /** Service, prefill demand, decode demand. */
  demand: z.array(z.tuple([text, count, count])).max(256),
  /** Part of a prompt and the engine that was sent it. */
  reads: z.array(z.tuple([text, text])).max(128),
  /** Control addresses of VMs heard lately. */
  members: z.array(text).max(64),
  /** Fingerprint, endpoint, instant of the crash, instant of the sending. */
  crashes: z.array(z.tuple([text, text, instant, instant])).max(32),
});

/** Checked news of a peer. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

/** Fewer samples of a pace than this are not worth telling. */
const MIN_PACE_SAMPLES = 0.1;

/** Most members told in one message. */
const MAX_MEMBERS = 16;

/** What only the task that sends news knows of its VM. */
export interface GossipSender {
  /** Its control address. */
  readonly address: string;
  /** True while the store answers it. */
  readonly hasStore: boolean;
  /** Parts of prompts that it sent to engines lately. */
  readonly reads: readonly PartRead[];
}

function collectLoads({ scheduling }: GatewayState): GossipMessage['loads'] {
  return [...scheduling.work]
    .filter(([, { own }]) => own.waiting + own.streaming > 0)
    .map(([id, { own }]) => [
      id,
      own.waiting,
      own.streaming,
      Math.round(own.waitingTokens),
      Math.round(own.heldTokens),
      own.tight,
    ]);
}

function collectPaces({ scheduling }: GatewayState, now: number): GossipMessage['paces'] {
  return [...scheduling.work]
    .map(([id, work]): GossipMessage['paces'][number] => {
      const { first, step } = ownPace(work, now);
      return [id, ...first, ...step];
    })
    .filter(([, , firstSamples, , stepSamples]) => firstSamples + stepSamples > MIN_PACE_SAMPLES);
}

function collectCrashes({ suspects }: GatewayState, now: number): GossipMessage['crashes'] {
  return listCrashes(suspects, now).map((crash) => [
    crash.fingerprint,
    crash.endpointId,
    crash.at,
    crash.startedAt,
  ]);
}

/** Returns what a VM tells its peers now. */
export function createGossipMessage(
  state: GatewayState,
  sender: GossipSender,
  now: number,
): GossipMessage {
  const { vmId, isLeaving, routing, directory, scheduling, peers } = state;
  return {
    vmId,
    address: sender.address,
    isLeaving,
    hasStore: sender.hasStore,
    configurationVersion: configurationVersion(routing),
    directoryRevision: directory.revision,
    loads: collectLoads(state),
    paces: collectPaces(state, now),
    borders: [...scheduling.borders],
    demand: [...scheduling.demand.keys()].map((id) => [id, ...ownDemand(scheduling, id, now)]),
    reads: sender.reads.map(({ partId, endpointId }) => [partId, endpointId]),
    members: [...peers.values()].map(({ address }) => address).slice(0, MAX_MEMBERS),
    crashes: collectCrashes(state, now),
  };
}

/** Returns what a peer told of its work. */
export function extractWork(
  { loads, paces, borders, demand }: GossipMessage,
  at: number,
): PeerWork {
  return {
    at,
    loads: new Map(
      loads.map(([id, waiting, streaming, waitingTokens, heldTokens, tight]) => [
        id,
        { waiting, streaming, waitingTokens, heldTokens, tight },
      ]),
    ),
    paces: new Map(
      paces.map(([id, firstRatios, firstSamples, stepRatios, stepSamples]) => [
        id,
        { first: [firstRatios, firstSamples], step: [stepRatios, stepSamples] },
      ]),
    ),
    borders: new Map(borders),
    demand: new Map(demand.map(([id, prefill, decode]) => [id, [prefill, decode]])),
  };
}

/** Returns the shared parts of prompts that a peer sent, and where to. */
export function extractReads({ reads }: GossipMessage): PartRead[] {
  return reads.map(([partId, endpointId]) => ({ partId, endpointId }));
}

/** Returns the crashes that a peer saw. */
export function extractCrashes({ crashes }: GossipMessage): CrashNews[] {
  return crashes.map(([fingerprint, endpointId, at, startedAt]) => ({
    fingerprint,
    endpointId,
    at,
    startedAt,
    isAlone: false,
  }));
}
