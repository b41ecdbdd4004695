import {
  configurationVersion,
  listArrivals,
  listBrittle,
  listLostServices,
  listOwnDepartures,
  listSeveralVersions,
  MAX_FAILED_TRIALS,
  MAX_REPORTED_DEPARTURES,
  MAX_REPORTED_TRIALS,
  MAX_SEGMENT_ANSWERS,
  MAX_SEGMENT_CRASHES,
  ownDemand,
  ownPaceSums,
  randomInteger,
  takeAnswerReports,
  takeCrashReports,
  takeFailedTrials,
  takeLimitReports,
  takeRefusalReports,
  takeSegmentAnswers,
  takeSegmentCrashes,
  takeTrialAnnouncements,
  type BrittleReport,
  type CrashReport,
  type DepartureReport,
  type FailedTrial,
  type LimitReport,
  type SegmentAnswer,
  type SegmentCrashReport,
  type SegmentRead,
  type PeerWork,
  type RequestTime,
  type SeenVersion,
  type SendReport,
  type TrialAnnouncement,
} from '@filbertlatch/core';
import * as z from 'zod';

import { isPeerAddress } from './address.js';
import { contactNewsSchema, createContactNews, type ContactReport } from './contactNews.js';
import type { GatewayState } from './gatewayState.js';
import { createTextList, createTupleList, MAX_AGE_MS } from './tupleList.js';

/** Most failed trials that are told; more add nothing. */
const MAX_TOLD_TRIALS = 64;

/** Maximum software versions in one message. */
const MAX_VERSIONS = 64;

const MAX_COUNT = 1e9;

const count = z.number().min(0).max(MAX_COUNT);
const age = z.number().min(0).max(MAX_AGE_MS);
const text = z.string().min(1).max(256);
const controlAddress = text.refine(isPeerAddress);

/** State that one VM gossips to the others several times a second; advisory only. */
export const gossipMessageSchema = z.object({
  vmId: text,
  address: controlAddress,
  /** True when the VM reads compressed messages. */
  readsCompressed: z.boolean().default(false),
  /** True when the VM answers pings. */
  answersPings: z.boolean().default(false),
  isLeaving: z.boolean(),
  hasStore: z.boolean(),
  configurationVersion: z.number().int(),
  directoryRevision: z.number().int(),
  /** Era of the store to which the revision belongs; null when the store names none. */
  storeEra: z.number().int().nullable().default(null),
  /** Era in which the configuration is in force. */
  configurationEra: z.number().int().nullable().default(null),
  /**
   * Endpoint id, waiting requests, streaming requests, waiting tokens, held tokens, tight requests.
   */
  loads: createTupleList(['text', 'count', 'count', 'count', 'count', 'count'], 4096),
  /**
   * Endpoint id, then sum and number of observed-to-expected time ratios: of first events, of
   * steps.
   */
  paces: createTupleList(['text', 'count', 'count', 'count', 'count'], 4096),
  /** Service id, number of engines for decode. */
  borders: createTupleList(['text', 'count'], 256),
  /** Service id, prefill demand, decode demand. */
  demand: createTupleList(['text', 'count', 'count'], 256),
  /** Prompt segment id, id of the engine that it was sent to. */
  reads: createTupleList(['text', 'text'], 128),
  /** Control addresses of known VMs; a malformed one does not spoil the message. */
  members: createTextList(64),
  /**
   * Request fingerprint, endpoint id, instant of the crash, instant at which the request was sent.
   */
  crashes: createTupleList(['text', 'text', 'instant', 'instant'], 32),
  /** Fingerprint of a request that crashed endpoints too often, instant of its latest crash. */
  refused: createTupleList(['text', 'instant'], 256).default([]),
  /** Fingerprint of a request that was answered after a crash, instant of the answer. */
  answered: createTupleList(['text', 'instant'], 256).default([]),
  /**
   * Prompt segment id, endpoint id, service id, milliseconds since the crash and since the request
   * was sent.
   */
  segmentCrashes: createTupleList(
    ['text', 'text', 'text', 'age', 'age'],
    MAX_SEGMENT_CRASHES,
  ).default([]),
  /** Prompt segment id, service id, milliseconds since an answer that refuted a suspicion. */
  segmentAnswers: createTupleList(['text', 'text', 'age'], MAX_SEGMENT_ANSWERS).default([]),
  /** Suspect, service id, endpoint id, trials that failed, milliseconds since the latest. */
  failedTrials: z
    .array(z.tuple([text, text, text, z.number().int().min(1).max(MAX_TOLD_TRIALS), age]))
    .max(MAX_FAILED_TRIALS)
    .default([]),
  /** Suspect segment, holder of the trial, whether it runs, suspects in it, milliseconds it holds. */
  trials: z
    .array(z.tuple([text, text, z.boolean(), count, age]))
    .max(MAX_REPORTED_TRIALS)
    .default([]),
  /**
   * Endpoint id, requests a second that it takes from all VMs (null when its limit has ended),
   * milliseconds since it said so.
   */
  requestLimits: z
    .array(z.tuple([text, count.nullable(), z.number().min(0)]))
    .max(256)
    .default([]),
  /** Endpoint id, requests sent to it since the last message; of endpoints with a limit. */
  limitedSends: z
    .array(z.tuple([text, count]))
    .max(256)
    .default([]),
  /** Service id, requests a second that arrive for it; null while the VM knows no limit. */
  arrivals: z
    .array(z.tuple([text, count]))
    .max(256)
    .nullable()
    .default(null),
  /**
   * Service id, software version (null for none), milliseconds since an endpoint of it was seen; of
   * services with several versions.
   */
  versions: z
    .array(z.tuple([text, text.nullable(), age]))
    .max(MAX_VERSIONS)
    .default([]),
  /** Milliseconds for which the VM has known all versions that served; null for not at all. */
  versionsKnownMs: z.number().min(0).nullable().default(null),
  /** Endpoint id, start of its lifetime; of endpoints that told the VM that they leave. */
  departures: z
    .array(z.tuple([text, z.number().nullable()]))
    .max(MAX_REPORTED_DEPARTURES)
    .default([]),
  contact: contactNewsSchema,
  /** Service id, requests that an endpoint may turn away in a second, age of the answer that said so. */
  brittle: z
    .array(z.tuple([text, count, age]))
    .max(256)
    .default([]),
});

/** A validated gossip message. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

type SegmentCrashTuple = GossipMessage['segmentCrashes'][number];
type SegmentAnswerTuple = GossipMessage['segmentAnswers'][number];
type FailedTrialTuple = GossipMessage['failedTrials'][number];
type TrialTuple = GossipMessage['trials'][number];

/** Lists that a message need not have; a peer takes them for empty then. */
const OPTIONAL_LISTS: ReadonlySet<string> = new Set<keyof GossipMessage>([
  ...(['refused', 'answered', 'segmentCrashes', 'segmentAnswers', 'failedTrials'] as const),
  ...(['trials', 'requestLimits', 'limitedSends', 'versions', 'departures', 'brittle'] as const),
]);

/** Returns what is sent of a message: without the optional lists that are empty. */
export function omitEmptyLists(message: GossipMessage): Partial<GossipMessage> {
  const isSent = ([name, value]: [string, unknown]) =>
    !OPTIONAL_LISTS.has(name) || !Array.isArray(value) || value.length > 0;
  return Object.fromEntries(Object.entries(message).filter(isSent));
}

/** Paces with fewer (decayed) samples than this are not sent. */
const MIN_PACE_SAMPLES = 0.1;

/** Maximum services whose arrivals are in one message. */
const MAX_ARRIVALS = 256;

/** Maximum brittle services in one message. */
const MAX_BRITTLE = 256;

/** Maximum members in one message. */
export const MAX_MEMBERS = 16;

/** Fields of a message that are not part of the gateway's state. */
export interface GossipSender {
  /** Control address of this VM. */
  readonly address: string;
  /** True while this VM can reach the store. */
  readonly hasStore: boolean;
  /** Prompt segments sent to engines since the last message. */
  readonly reads: readonly SegmentRead[];
  /** Requests sent to endpoints with a limit since the last message. */
  readonly limitedSends: readonly SendReport[];
  readonly contact?: ContactReport;
}

const NO_CONTACT: ContactReport = { heardAt: new Map(), openTransits: 0 };

/** Says whether this VM can tell of an endpoint's work: it sees none without links to it. */
function createReachedFilter({ contacts, directory }: GatewayState) {
  const lost = new Set(listLostServices(contacts));
  const isServiceReached = (serviceId: string) => !lost.has(serviceId);
  const isReached = (endpointId: string) => {
    const endpoint = directory.endpoints.get(endpointId);
    return endpoint === undefined || isServiceReached(endpoint.serviceId);
  };
  return { isReached, isServiceReached };
}

type ReachedFilter = ReturnType<typeof createReachedFilter>;

/** Returns a number as a message may have it, whatever callers said of their requests. */
function toCount(value: number): number {
  return Math.min(MAX_COUNT, Math.max(0, value)) || 0;
}

function collectLoads(
  { scheduling }: GatewayState,
  { isReached }: ReachedFilter,
): GossipMessage['loads'] {
  return [...scheduling.work]
    .filter(([id]) => isReached(id))
    .filter(([, { own }]) => own.waiting + own.streaming > 0)
    .map(([id, { own }]) => [
      id,
      own.waiting,
      own.streaming,
      toCount(Math.round(own.waitingTokens)),
      toCount(Math.round(own.heldTokens)),
      own.tight,
    ]);
}

/** Rounds to a thousandth: all digits of a sum would make up most of a message. */
function roundSum(value: number): number {
  return Math.round(value * 1000) / 1000;
}

function collectPaces(
  { scheduling }: GatewayState,
  { isReached }: ReachedFilter,
  now: number,
): GossipMessage['paces'] {
  return [...scheduling.work]
    .filter(([id]) => isReached(id))
    .map(([id, work]): GossipMessage['paces'][number] => {
      const { first, step } = ownPaceSums(work, now);
      const sums = [...first, ...step].map((sum) => roundSum(toCount(sum)));
      const [firstRatios, firstSamples, stepRatios, stepSamples] = sums;
      return [id, firstRatios!, firstSamples!, stepRatios!, stepSamples!];
    })
    .filter(([, , firstSamples, , stepSamples]) => firstSamples + stepSamples > MIN_PACE_SAMPLES);
}

/** Chooses the members to name; in a fleet larger than the list, others each time. */
function chooseMembers({ peers, random }: GatewayState): string[] {
  const addresses = [...peers.values()].map(({ address }) => address);
  if (addresses.length <= MAX_MEMBERS) return addresses;
  const first = randomInteger(random, addresses.length);
  return [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, MAX_MEMBERS);
}

function collectCrashes({ suspects }: GatewayState): GossipMessage['crashes'] {
  return takeCrashReports(suspects).map((crash) => [
    crash.fingerprint,
    crash.endpointId,
    crash.at,
    crash.startedAt,
  ]);
}

/** Tells ages instead of times, so that the clocks of the VMs do not matter. */
function collectSegmentNews({ segmentSuspects, vmId }: GatewayState, now: number) {
  const ageOf = (at: number) => Math.min(MAX_AGE_MS, Math.max(0, Math.round(now - at)));
  return {
    segmentCrashes: takeSegmentCrashes(segmentSuspects).map(
      ({ segmentId, endpointId, serviceId, at, startedAt }): SegmentCrashTuple => [
        segmentId,
        endpointId,
        serviceId,
        ageOf(at),
        ageOf(startedAt),
      ],
    ),
    segmentAnswers: takeSegmentAnswers(segmentSuspects).map(
      ({ segmentId, serviceId, at }): SegmentAnswerTuple => [segmentId, serviceId, ageOf(at)],
    ),
    failedTrials: takeFailedTrials(segmentSuspects).map(
      ({ subject, serviceId, endpointId, failedTrials, at }): FailedTrialTuple => [
        subject,
        serviceId,
        endpointId,
        Math.min(MAX_TOLD_TRIALS, failedTrials),
        ageOf(at),
      ],
    ),
    trials: takeTrialAnnouncements(segmentSuspects, vmId, now).map(
      ({ segmentId, holder, isRunning, suspects, endsAt }): TrialTuple => [
        segmentId,
        holder,
        isRunning,
        suspects,
        Math.round(endsAt - now),
      ],
    ),
  };
}

function collectLimits(
  { requestLimits }: GatewayState,
  { isServiceReached }: ReachedFilter,
  now: number,
) {
  const arrivals = listArrivals(requestLimits, now);
  return {
    requestLimits: takeLimitReports(requestLimits, now).map(
      ({ endpointId, perSecond, ageMs }): GossipMessage['requestLimits'][number] => [
        endpointId,
        perSecond,
        ageMs,
      ],
    ),
    arrivals:
      arrivals === null
        ? null
        : [...arrivals].filter(([id]) => isServiceReached(id)).slice(0, MAX_ARRIVALS),
  };
}

function collectVersions({ streamOrigins }: GatewayState, now: number): GossipMessage['versions'] {
  return listSeveralVersions(streamOrigins, now)
    .slice(0, MAX_VERSIONS)
    .map(({ serviceId, version, at }) => [serviceId, version, Math.max(0, Math.round(now - at))]);
}

function ageOfKnowledge({ streamOrigins }: GatewayState, now: number): number | null {
  const ageMs = now - streamOrigins.knownSince;
  return ageMs < 0 ? null : Math.min(MAX_AGE_MS, Math.round(ageMs));
}

/**
 * Creates the next message that this VM sends to its peers. Long lists of crashes are sent in parts,
 * in turn.
 */
export function createGossipMessage(
  state: GatewayState,
  sender: GossipSender,
  now: number,
): GossipMessage {
  const { vmId, isLeaving, routing, directory, scheduling, suspects } = state;
  const reached = createReachedFilter(state);
  return {
    vmId,
    address: sender.address,
    readsCompressed: true,
    answersPings: true,
    isLeaving,
    hasStore: sender.hasStore,
    configurationVersion: configurationVersion(routing),
    directoryRevision: directory.revision,
    storeEra: directory.era,
    configurationEra: routing.era,
    loads: collectLoads(state, reached),
    paces: collectPaces(state, reached, now),
    borders: [...scheduling.borders].filter(([id]) => reached.isServiceReached(id)),
    demand: [...scheduling.demand.keys()]
      .filter((id) => reached.isServiceReached(id))
      .map((id) => {
        const [prefill, decode] = ownDemand(scheduling, id, now);
        return [id, roundSum(toCount(prefill)), roundSum(toCount(decode))];
      }),
    reads: sender.reads.map(({ segmentId, endpointId }) => [segmentId, endpointId]),
    members: chooseMembers(state),
    crashes: collectCrashes(state),
    refused: takeRefusalReports(suspects, now).map(({ fingerprint, at }) => [fingerprint, at]),
    answered: takeAnswerReports(suspects).map(({ fingerprint, at }) => [fingerprint, at]),
    limitedSends: sender.limitedSends.map(({ endpointId, sends }) => [endpointId, sends]),
    ...collectSegmentNews(state, now),
    ...collectLimits(state, reached, now),
    versions: collectVersions(state, now),
    versionsKnownMs: ageOfKnowledge(state, now),
    departures: listOwnDepartures(directory).map(({ endpointId, startedAt }) => [
      endpointId,
      startedAt,
    ]),
    contact: createContactNews(state, sender.contact ?? NO_CONTACT, now),
    brittle: listBrittle(state.brittleness, now)
      .slice(0, MAX_BRITTLE)
      .map(({ serviceId, brittleness, seenAt }) => [
        serviceId,
        brittleness,
        Math.max(0, Math.round(now - seenAt)),
      ]),
  };
}

/** Returns the load, paces and demand in a message received at `at`, in epoch milliseconds. */
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

/** Returns the prompt segments in a message and the engines that they were sent to. */
export function extractReads({ reads }: GossipMessage): SegmentRead[] {
  return reads.map(([segmentId, endpointId]) => ({ segmentId, endpointId }));
}

/** Returns the crashes in a message. */
export function extractCrashes({ crashes }: GossipMessage): CrashReport[] {
  return crashes.map(([fingerprint, endpointId, at, startedAt]) => ({
    fingerprint,
    endpointId,
    at,
    startedAt,
    isAlone: false,
  }));
}

/** Returns the requests in a message that the peer refuses. */
export function extractRefusals({ refused }: GossipMessage): RequestTime[] {
  return refused.map(([fingerprint, at]) => ({ fingerprint, at }));
}

/** Returns the requests in a message that were answered after a crash. */
export function extractAnswers({ answered }: GossipMessage): RequestTime[] {
  return answered.map(([fingerprint, at]) => ({ fingerprint, at }));
}

/** What a message received at an instant tells of segments of prompts. */
export interface SegmentNews {
  readonly crashes: readonly SegmentCrashReport[];
  readonly answers: readonly SegmentAnswer[];
  readonly failedTrials: readonly FailedTrial[];
  readonly trials: readonly TrialAnnouncement[];
}

/** Returns what a message received at `now` tells of segments of prompts. */
export function extractSegmentNews(message: GossipMessage, now: number): SegmentNews {
  return {
    crashes: message.segmentCrashes.map(
      ([segmentId, endpointId, serviceId, crashAgeMs, sendAgeMs]) => ({
        segmentId,
        endpointId,
        serviceId,
        at: now - crashAgeMs,
        startedAt: now - sendAgeMs,
      }),
    ),
    answers: message.segmentAnswers.map(([segmentId, serviceId, ageMs]) => ({
      segmentId,
      serviceId,
      at: now - ageMs,
    })),
    failedTrials: message.failedTrials.map(
      ([subject, serviceId, endpointId, failedTrials, ageMs]) => ({
        subject,
        serviceId,
        endpointId,
        failedTrials,
        at: now - ageMs,
      }),
    ),
    trials: message.trials.map(([segmentId, holder, isRunning, suspects, endsInMs]) => ({
      segmentId,
      holder,
      isRunning,
      suspects,
      endsAt: now + endsInMs,
    })),
  };
}

/** Returns the endpoints that leave by a message. */
export function extractDepartures({ departures }: GossipMessage): DepartureReport[] {
  return departures.map(([endpointId, startedAt]) => ({ endpointId, startedAt }));
}

/** Returns the software versions in a message received at `now`. */
export function extractVersions({ versions }: GossipMessage, now: number): SeenVersion[] {
  return versions.map(([serviceId, version, ageMs]) => ({ serviceId, version, at: now - ageMs }));
}

/** Returns the brittle services in a message received at `now`. */
export function extractBrittle({ brittle }: GossipMessage, now: number): BrittleReport[] {
  return brittle.map(([serviceId, brittleness, ageMs]) => ({
    serviceId,
    brittleness,
    seenAt: now - ageMs,
  }));
}

/** Returns the limits in a message. */
export function extractLimits({ requestLimits }: GossipMessage): LimitReport[] {
  return requestLimits.map(([endpointId, perSecond, ageMs]) => ({ endpointId, perSecond, ageMs }));
}

/** Returns the sends to endpoints with a limit in a message. */
export function extractSends({ limitedSends }: GossipMessage): SendReport[] {
  return limitedSends.map(([endpointId, sends]) => ({ endpointId, sends }));
}
