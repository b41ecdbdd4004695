import type { Configuration, RegisteredEndpoint } from '@filbertlatch/core';

/** The two parts of what the platform publishes. */
export type PublicationPart = 'configuration' | 'endpoints';

/** One entry as it was written; `text` is null when it was removed. */
export interface PublishedEntry {
  /** The endpoint's id; empty for the configuration. */
  readonly id: string;
  readonly text: string | null;
}

/** Entries and the revision as of which they hold. */
export interface PublicationBatch {
  readonly entries: readonly PublishedEntry[];
  readonly revision: number;
}

/** Thrown by a watch whose start the platform no longer keeps: read everything again. */
export class HistoryLostError extends Error {}

/** Reads what the platform publishes. Calls throw when the platform does not answer. */
export interface PublicationSource {
  /** Reads all entries of a part. */
  read(part: PublicationPart, signal: AbortSignal): Promise<PublicationBatch>;
  /** Waits for the changes after a revision. Throws HistoryLostError. */
  watch(part: PublicationPart, after: number, signal: AbortSignal): Promise<PublicationBatch>;
  /** Reads a configuration; throws when the text is none. */
  decodeConfiguration(text: string): Configuration;
  /** Reads an entry; null when it names no endpoint that can be used. */
  decodeEndpoint(id: string, text: string): RegisteredEndpoint | null;
}
