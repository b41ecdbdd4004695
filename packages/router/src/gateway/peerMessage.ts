import type { CrashNews, PartRead, ToldPace, WorkLoad } from '@filbertlatch/core';
import * as z from 'zod';

const count = z.number().min(0).max(1e9);
const instant = z.number().min(0).describe('Epoch milliseconds.');
const text = z.string().min(1).max(256);

/** What one VM tells the others several times a second; hints, never authority. */
export const peerNewsSchema = z.object({
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
export type PeerNews = z.infer<typeof peerNewsSchema>;

/** Returns the loads of a peer by endpoint. */
export function readLoads({ loads }: PeerNews): Map<string, WorkLoad> {
  return new Map(
    loads.map(([id, waiting, streaming, waitingTokens, heldTokens, tight]) => [
      id,
      { waiting, streaming, waitingTokens, heldTokens, tight },
    ]),
  );
}

/** Returns the paces of endpoints as a peer sees them. */
export function readPaces({ paces }: PeerNews): Map<string, ToldPace> {
  return new Map(
    paces.map(([id, firstRatios, firstSamples, stepRatios, stepSamples]) => [
      id,
      { first: [firstRatios, firstSamples], step: [stepRatios, stepSamples] },
    ]),
  );
}

/** Returns the shared parts of prompts that a peer sent, and where to. */
export function readReads({ reads }: PeerNews): PartRead[] {
  return reads.map(([partId, endpointId]) => ({ partId, endpointId }));
}

/** Returns the crashes that a peer saw. */
export function readCrashes({ crashes }: PeerNews): CrashNews[] {
  return crashes.map(([fingerprint, endpointId, at, startedAt]) => ({
    fingerprint,
    endpointId,
    at,
    startedAt,
    isAlone: false,
  }));
}
