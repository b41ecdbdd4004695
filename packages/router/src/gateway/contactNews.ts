import { listLostServices, type PeerContact } from '@filbertlatch/core';
import * as z from 'zod';

import type { GatewayState } from './gatewayState.js';

/** Maximum services in one message. */
const MAX_SERVICES = 256;

/** Oldest contact that is told. */
const MAX_CONTACT_AGE_MS = 15_000;

const text = z.string().min(1).max(256);

/** The part of a message that tells of a VM's links to endpoints. */
export const contactNewsSchema = z
  .object({
    zone: text,
    /** Requests that the VM carries for others; null while it takes none. */
    openTransits: z.number().int().min(0).max(1e6).nullable(),
    /** Services whose endpoints the VM cannot reach. */
    lostServices: z.array(text).max(MAX_SERVICES),
    /** Service id, milliseconds since the VM last heard from an endpoint of it. */
    contacts: z.array(z.tuple([text, z.number().min(0).max(MAX_CONTACT_AGE_MS)])).max(MAX_SERVICES),
  })
  .nullable()
  // Of a VM with an older software.
  .default(null);

/** What a VM tells of its links. */
export type ContactNews = z.infer<typeof contactNewsSchema>;

/** What the tasks of a VM know of its links, for its peers. */
export interface ContactReport {
  readonly openTransits: number;
  /** By service id, the time at which an endpoint was last heard; epoch milliseconds. */
  readonly heardAt: ReadonlyMap<string, number>;
}

/** Creates what this VM tells of its links. */
export function createContactNews(
  { contacts, isLeaving, zone }: GatewayState,
  { heardAt, openTransits }: ContactReport,
  now: number,
): ContactNews {
  const ages = [...heardAt].map(([id, at]): [string, number] => [id, Math.max(0, now - at)]);
  return {
    zone,
    openTransits: isLeaving ? null : openTransits,
    lostServices: listLostServices(contacts).slice(0, MAX_SERVICES),
    contacts: ages.filter(([, age]) => age <= MAX_CONTACT_AGE_MS).slice(0, MAX_SERVICES),
  };
}

/** When a message was read, and when it can have arrived at the earliest; epoch milliseconds. */
export interface MessageTimes {
  readonly heardAt: number;
  readonly arrivedAt: number;
}

/** Returns what a message tells of a peer's links; null when it tells nothing. */
export function extractContact(
  news: ContactNews,
  { address, configurationVersion }: Pick<PeerContact, 'address' | 'configurationVersion'>,
  { arrivedAt, heardAt }: MessageTimes,
): PeerContact | null {
  if (news === null) return null;
  return {
    address,
    configurationVersion,
    zone: news.zone,
    heardAt,
    takesTransits: news.openTransits !== null,
    openTransits: news.openTransits ?? 0,
    lostServices: new Set(news.lostServices),
    contactAt: new Map(news.contacts.map(([id, age]) => [id, arrivedAt - age])),
  };
}
