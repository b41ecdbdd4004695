/** Name of a pool: the endpoints that can serve the same model or service. */
export type PoolId = `model:${string}` | `service:${string}`;

/** A caller's request, as used by admission and placement. Instants are epoch milliseconds. */
export interface Request {
  readonly id: string;
  readonly accountId: string;
  readonly classId: string;
  readonly pool: PoolId;
  readonly arrivedAt: number;
  /** Instant after which the answer is of no use to the caller. */
  readonly deadline: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
  /** False: the request may run at most once. */
  readonly repeatable: boolean;
  /** The caller's Idempotency-Key, scoped by account; null when it sent none. */
  readonly key: string | null;
  /** When the caller issued the key, epoch milliseconds; null or absent when it does not say. */
  readonly keyIssuedAt?: number | null;
  /** Digest of the request's content; requests with the same key must have the same one. */
  readonly fingerprint: string;
}
