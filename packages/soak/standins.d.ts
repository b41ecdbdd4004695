import type { Agent } from 'node:http';
import type { Server } from 'node:net';

export const HOST: string;
export const RUNNER_URL: URL;
export const OWN_HOST_URL: URL;
export const ROOT_URL: URL;
export const CONFIGURATION_KEY: string;
export const ID_HEADER: string;

export function listenOnLastingPort(server: Server): Promise<string>;

export function formatCallHeaders(call: {
  readonly id: string;
  readonly timeoutMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly segments: Readonly<Record<string, number>>;
  readonly key: string;
}): Record<string, string>;

export function formatAccount(name: string, keys: readonly string[]): object;
export function formatTarget(ms: number): object;

export interface Service {
  readonly name: string;
  readonly engine?: Readonly<Record<string, number>>;
}

export const ENGINES: Service;
export const DESK: Service;

export interface Configuration {
  readonly version: number;
  readonly limits: Readonly<Record<string, number>>;
}

export function createRoute(name: string, kind: string, service: Service, fields: object): object;

export function createConfiguration(
  routes: readonly object[],
  services: readonly Service[],
  fields?: object,
): Configuration;

/** What a caller has seen: `cut` is an answer that ended early, `none` not even a head. */
export interface SeenAttempt {
  readonly id: string;
  readonly sentAt: number;
  readonly writtenAt: number | null;
  readonly endedAt: number;
  readonly connection: 'refused' | 'reset' | 'closed' | 'failed' | null;
  readonly isReused: boolean;
  readonly status: number | null;
  readonly text: string;
  readonly answer: 'whole' | 'cut' | 'none' | 'left';
  readonly error: string | null;
}

export interface Attempt {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | null;
  readonly pause?: { readonly afterBytes: number; readonly forMs: number };
  readonly bytesPerSecond?: number;
  readonly leaveAfterMs?: number | null;
  readonly channel?: Agent;
}

export function drawAttemptId(): string;
export function sendAttempt(address: string, attempt: Attempt): Promise<SeenAttempt>;

export class Store {
  address: string;
  start(): Promise<void>;
  stop(): void;
  put(key: string, value: unknown): void;
  remove(key: string): void;
  write(key: string, value: unknown): Promise<void>;
  setDelay(ms: number): void;
  setEndless(part: string | null): void;
  leave(): void;
  copy(): object;
  comeBack(copy: object): Promise<void>;
}

/** One VM: its process is started again whenever it has ended. */
export interface Gateway {
  readonly name: string;
  /** Null while no process runs. */
  readonly pid: number | null;
  readonly listen: { readonly front: string; readonly ready: string; readonly control: string };
  readonly ends: {
    startedAt: number;
    at: number;
    code: number | null;
    signal: string | null;
  }[];
  kill(signal: string): void;
  /** Descriptors that the next process may have open; null for no limit. */
  limitNextStart(descriptors: number | null): void;
  /** Nobody reads the log of the running process from now on: its pipe is closed, or fills up. */
  leaveLog(isClosed: boolean): {
    /** Lets the process write its state to its log. */
    dump(): void;
    resume(): void;
  };
}

/** Module that each VM's process loads first, and its environment. */
export interface Network {
  readonly preload: string;
  createEnvironment(index: number): Readonly<Record<string, string>>;
}

export class Fleet {
  constructor(options: {
    readonly root: string;
    readonly logDirectory: string;
    readonly network: Network | null;
  });
  gateways: Gateway[];
  start(count: number, storeAddress: string): Promise<void>;
  stop(): Promise<void>;
}
