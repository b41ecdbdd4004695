import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

/** A part of the publication; the two are read and watched separately. */
export type PublicationPart = 'configuration' | 'endpoints';

/** One published entry; `text` is null when it was removed. */
export interface PublishedEntry {
  /** The endpoint's id; empty for the configuration. */
  readonly id: string;
  readonly text: string | null;
}

/** All entries of a part, or the changed ones, and the store revision that they reflect. */
export interface PublicationBatch {
  readonly entries: readonly PublishedEntry[];
  readonly revision: number;
  /**
   * Rises by one each time the store comes back from an older copy, in which revisions go back;
   * absent when the store names none.
   */
  readonly era?: number;
}

/**
 * Thrown by a watch when the store no longer has the changes since its revision; the part must then
 * be read completely.
 */
export class HistoryLostError extends Error {}

/**
 * Reads and watches the published configuration and endpoints. All calls reject when the store does not
 * answer.
 */
export interface PublicationSource {
  /** Reads all entries of a part. */
  read(part: PublicationPart, signal: AbortSignal): Promise<PublicationBatch>;
  /**
   * Waits for changes after a revision. Rejects with HistoryLostError when they are no longer kept.
   */
  watch(part: PublicationPart, after: number, signal: AbortSignal): Promise<PublicationBatch>;
  /** Reads the changes after a revision at once, otherwise like `watch`; on a connection of its own. */
  readChanges(part: PublicationPart, after: number, signal: AbortSignal): Promise<PublicationBatch>;
  /** Returns the time that passed between the first and last of these changes, at the least. */
  measureSpan?(entries: readonly PublishedEntry[]): number;
  /** Parses a configuration; throws when it is invalid. */
  decodeConfiguration(text: string): Configuration;
  /** Parses the entry of an endpoint; null when it is invalid. */
  decodeEndpoint(id: string, text: string): RegisteredEndpoint | null;
}
