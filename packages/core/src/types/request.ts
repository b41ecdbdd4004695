/** Name of a pool: the endpoints that can serve the same model or service. */
export type PoolId = `model:${string}` | `service:${string}`;

/** A caller's request, as the decisions see it. Instants are epoch milliseconds. */
export interface Request {
  readonly id: string;
  readonly accountId: string;
  readonly classId: string;
  readonly pool: PoolId;
  readonly arrivedAt: number;
  /** After this instant the answer is worth nothing to the caller. */
  readonly deadline: number;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Digests of the prompt's leading blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
  /** False: the request may run at most once. */
  readonly repeatable: boolean;
  /** The caller's Idempotency-Key, scoped by account; null when it sent none. */
  readonly key: string | null;
  /** When the caller issued the key; null or absent when the key does not say. */
  readonly keyIssuedAt?: number | null;
  /** Digest of what the request asks for; the same key must carry the same one. */
  readonly fingerprint: string;
}
