import { RouterError } from '@filbertlatch/router/errors';
import { standardError, type LineOutput } from '@filbertlatch/router/output';

import { formatFailure } from './formatFailure.js';
import { reportError } from './reportError.js';

const EXIT_OK = 0;
/** Exit code after an error that nothing handles. */
const EXIT_FAILED = 1;
/** Exit code when the settings are invalid or the process cannot start with them. */
const EXIT_START_FAILED = 2;

/** Signals that a process answers. */
const SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR2'] as const;

/** A signal that a process answers. */
export type ProcessSignal = (typeof SIGNALS)[number];

/** Where a process stands between its first statement and its exit. */
export type ProcessPhase = 'starting' | 'serving' | 'draining' | 'gone';

type SignalEffect = 'remember' | 'stop' | 'reload' | 'dump' | 'none';

const NO_EFFECTS = { SIGTERM: 'none', SIGINT: 'none', SIGHUP: 'none', SIGUSR2: 'none' } as const;

/** What each signal does in each phase; docs/design/signals.md has the reasons. */
const EFFECTS: Readonly<Record<ProcessPhase, Readonly<Record<ProcessSignal, SignalEffect>>>> = {
  starting: { SIGTERM: 'remember', SIGINT: 'remember', SIGHUP: 'remember', SIGUSR2: 'remember' },
  serving: { SIGTERM: 'stop', SIGINT: 'stop', SIGHUP: 'reload', SIGUSR2: 'dump' },
  draining: { ...NO_EFFECTS, SIGUSR2: 'dump' },
  gone: NO_EFFECTS,
};

/** What signals ask of a process that serves. */
export interface SignalActions {
  reload(): void;
  dump(): void;
}

/**
 * The phases of a process, and its signals in each of them. Handlers stay until the process has
 * ended: a signal without one would end it.
 */
export class ProcessLife {
  #phase: ProcessPhase = 'starting';

  readonly #remembered = new Set<ProcessSignal>();

  /** Time of the first signal to stop, on the runtime's steady clock. */
  #stopAskedAt: number | null = null;

  readonly #stop = new AbortController();

  #actions: SignalActions | null = null;

  #exitCode = EXIT_OK;

  #endServing: (() => void) | null = null;

  /** `log` gets the error that ends the process, if one does. */
  constructor(log: LineOutput = standardError) {
    SIGNALS.forEach((signal) => process.on(signal, () => this.#receive(signal)));
    process.on('uncaughtException', (error, origin) => {
      log.write(formatFailure(error, origin));
      // eslint-disable-next-line n/no-process-exit -- its state is unknown
      process.exit(EXIT_FAILED);
    });
  }

  /** True from the first signal to stop. */
  get isStopping(): boolean {
    return this.#stopAskedAt !== null;
  }

  /** Aborts at the first signal to stop. */
  get stopSignal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Time since the first signal to stop, in milliseconds; 0 when there was none. */
  get stoppingMs(): number {
    return this.#stopAskedAt === null ? 0 : performance.now() - this.#stopAskedAt;
  }

  /**
   * Starts what the process serves; null when it failed, or when `create` saw that the process has to
   * stop. Rejects on errors that are not RouterErrors, unless the process has to stop.
   */
  async start<T>(create: () => Promise<T | null>): Promise<T | null> {
    try {
      return await create();
    } catch (error) {
      if (!this.isStopping && !(error instanceof RouterError)) throw error;
      if (error !== this.#stop.signal.reason) reportError(error);
      if (!this.isStopping) this.#exitCode = EXIT_START_FAILED;
      return null;
    }
  }

  /** Serves until a signal to stop; carries out the signals that came before, in their order. */
  async serve(actions: SignalActions): Promise<void> {
    this.#actions = actions;
    this.#phase = 'serving';
    const stopped = new Promise<void>((resolve) => {
      this.#endServing = resolve;
    });
    this.#remembered.forEach((signal) => this.#receive(signal));
    await stopped;
  }

  /** Signals do nothing from now on; returns the exit code. */
  end(): number {
    this.#phase = 'gone';
    return this.#exitCode;
  }

  #receive(signal: ProcessSignal): void {
    if (signal === 'SIGTERM' || signal === 'SIGINT') this.#stopAskedAt ??= performance.now();
    if (this.isStopping) this.#stop.abort();
    const effect = EFFECTS[this.#phase][signal];
    if (effect === 'remember') this.#remembered.add(signal);
    if (effect === 'reload') this.#actions?.reload();
    if (effect === 'dump') this.#actions?.dump();
    if (effect !== 'stop') return;
    this.#phase = 'draining';
    this.#endServing?.();
  }
}
