import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { LinkState } from './checkLink.js';
import type { Liveness } from './livenessTask.js';
import type { RequestPlace } from './requestTrace.js';

const METRIC_PREFIX = 'filbertlatch_';
const MS_PER_SECOND = 1000;
const DELAY_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.04, 0.1, 0.2, 0.5, 1, 2];
const LATENCY_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 15];

/** Values of the gauges, read at each scrape. */
export interface GatewayGauges {
  readonly configurationVersion: () => number;
  readonly endpoints: () => number;
  readonly peers: () => number;
  readonly knownCrashes: () => number;
  readonly unreportedCrashes: () => number;
  readonly limitedEndpoints: () => number;
  readonly recordedSegments: () => number;
  readonly suspectedSegments: () => number;
  readonly refusedSegments: () => number;
  readonly droppedLogLines: () => number;
  readonly memoryLimitBytes: () => number;
  /** Bytes that are held for others, by kind. */
  readonly heldBytes: () => Readonly<Record<string, number>>;
}

/** Counters and latency histograms of one gateway. */
export class GatewayMetrics {
  readonly #registry = new Registry();

  readonly #requests = new Counter({
    name: `${METRIC_PREFIX}requests_total`,
    help: 'Requests that ended, by route and outcome.',
    labelNames: ['route', 'outcome'],
    registers: [this.#registry],
  });

  readonly #attempts = new Counter({
    name: `${METRIC_PREFIX}attempts_total`,
    help: 'Requests sent to endpoints, by endpoint and outcome.',
    labelNames: ['endpoint', 'outcome'],
    registers: [this.#registry],
  });

  readonly #limitedSends = new Counter({
    name: `${METRIC_PREFIX}limited_sends_total`,
    help: 'Requests and health checks sent to endpoints that have named a limit.',
    registers: [this.#registry],
  });

  readonly #segmentRefusals = new Counter({
    name: `${METRIC_PREFIX}segment_refusals_total`,
    help: 'Requests refused for a segment of their prompts: refused itself, or on trial elsewhere.',
    labelNames: ['verdict'],
    registers: [this.#registry],
  });

  readonly #failedTrials = new Counter({
    name: `${METRIC_PREFIX}failed_segment_trials_total`,
    help: 'Endpoints that ended under a request on trial for a segment of its prompt.',
    registers: [this.#registry],
  });

  readonly #unframedEnds = new Counter({
    name: `${METRIC_PREFIX}unframed_ends_total`,
    help: 'Answers without length and chunks whose connection ended, by kind.',
    labelNames: ['kind'],
    registers: [this.#registry],
  });

  readonly #livenessChecks = new Counter({
    name: `${METRIC_PREFIX}liveness_checks_total`,
    help: 'Checks whether an endpoint outlived an answer without length and chunks, by result.',
    labelNames: ['liveness'],
    registers: [this.#registry],
  });

  readonly #contactChanges = new Counter({
    name: `${METRIC_PREFIX}contact_changes_total`,
    help: 'Services whose endpoints this VM could reach no more or fell silent, or again.',
    labelNames: ['change'],
    registers: [this.#registry],
  });

  readonly #crashes = new Counter({
    name: `${METRIC_PREFIX}crashes_total`,
    help: 'Attempts that the end of their endpoint ended, by what showed it.',
    labelNames: ['sign'],
    registers: [this.#registry],
  });

  readonly #linkChecks = new Counter({
    name: `${METRIC_PREFIX}link_checks_total`,
    help: 'Checks of the link to an endpoint, by result.',
    labelNames: ['link'],
    registers: [this.#registry],
  });

  readonly #transits = new Counter({
    name: `${METRIC_PREFIX}transits_total`,
    help: 'Requests sent by way of another VM, or carried for one, by outcome.',
    labelNames: ['side', 'outcome'],
    registers: [this.#registry],
  });

  readonly #delayedRetries = new Counter({
    name: `${METRIC_PREFIX}delayed_retries_total`,
    help: 'Waits of requests that may have run and that nothing took at the moment, by reason.',
    labelNames: ['reason'],
    registers: [this.#registry],
  });

  readonly #storeReturns = new Counter({
    name: `${METRIC_PREFIX}store_returns_total`,
    help: 'Returns of the store from an older copy.',
    registers: [this.#registry],
  });

  readonly #abandoned = new Counter({
    name: `${METRIC_PREFIX}abandoned_requests_total`,
    help: 'Requests whose callers left before the end, by where the request was.',
    labelNames: ['place'],
    registers: [this.#registry],
  });

  readonly #memoryRefusals = new Counter({
    name: `${METRIC_PREFIX}memory_refusals_total`,
    help: 'Requests refused before they were read whole, since there was no room for their bodies.',
    labelNames: ['reason'],
    registers: [this.#registry],
  });

  readonly #firstAnswer = new Histogram({
    name: `${METRIC_PREFIX}first_answer_seconds`,
    help: 'From arrival to the answer, or to the first event of a stream.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  readonly #loopDelay = new Histogram({
    name: `${METRIC_PREFIX}loop_delay_seconds`,
    help: 'Longest time between two polls of the event loop, in each tenth of a second.',
    buckets: DELAY_BUCKETS_SECONDS,
    registers: [this.#registry],
  });

  constructor(gauges: GatewayGauges) {
    this.#gauge('configuration_version', 'Version in force; -1 before the first.', () =>
      gauges.configurationVersion(),
    );
    this.#gauge('endpoints', 'Endpoints that are registered.', () => gauges.endpoints());
    this.#gauge('peers', 'Other VMs heard lately.', () => gauges.peers());
    this.#gauge('known_crashes', 'Recent crashes recorded against requests.', () =>
      gauges.knownCrashes(),
    );
    this.#gauge(
      'unreported_crashes',
      'Known crashes beyond those that one message to peers holds.',
      () => gauges.unreportedCrashes(),
    );
    this.#gauge('limited_endpoints', 'Endpoints that have named a limit on requests.', () =>
      gauges.limitedEndpoints(),
    );
    this.#gauge('recorded_segments', 'Prompt segments that crashes are recorded against.', () =>
      gauges.recordedSegments(),
    );
    this.#gauge('suspected_segments', 'Prompt segments with two recorded crashes or more.', () =>
      gauges.suspectedSegments(),
    );
    this.#gauge('refused_segments', 'Prompt segments that are refused after a failed trial.', () =>
      gauges.refusedSegments(),
    );
    this.#gauge(
      'dropped_log_lines',
      'Log lines dropped since the start, as nobody took them.',
      () => gauges.droppedLogLines(),
    );
    this.#gauge('held_bytes_limit', 'Bytes that this process may hold for others.', () =>
      gauges.memoryLimitBytes(),
    );
    const held: Gauge = new Gauge({
      name: `${METRIC_PREFIX}held_bytes`,
      help: 'Bytes that this process holds for others, by kind.',
      labelNames: ['kind'],
      registers: [this.#registry],
      collect: () =>
        Object.entries(gauges.heldBytes()).forEach(([kind, bytes]) => held.set({ kind }, bytes)),
    });
  }

  /** Counts a request or health check that is sent to an endpoint with a limit. */
  countLimitedSend(): void {
    this.#limitedSends.inc();
  }

  /** Counts a request that is refused for a segment of its prompt. */
  countSegmentRefusal(verdict: 'suspect' | 'refused'): void {
    this.#segmentRefusals.inc({ verdict });
  }

  /** Counts an endpoint that ended under a trial of this VM. */
  countFailedTrial(): void {
    this.#failedTrials.inc();
  }

  /** Counts an answer that ended with its connection. */
  countUnframedEnd(kind: 'stream' | 'body'): void {
    this.#unframedEnds.inc({ kind });
  }

  /** Counts a check of an endpoint after an answer that ended with its connection. */
  countLivenessCheck(liveness: Liveness): void {
    this.#livenessChecks.inc({ liveness });
  }

  /** Counts a service that is lost to this VM or silent, and its end. */
  countContactChange(change: 'lost' | 'regained' | 'silent' | 'heard'): void {
    this.#contactChanges.inc({ change });
  }

  /** Counts an attempt that the end of its endpoint ended. */
  countCrash(sign: string): void {
    this.#crashes.inc({ sign });
  }

  /** Counts a check of the link to an endpoint. */
  countLinkCheck(link: LinkState): void {
    this.#linkChecks.inc({ link });
  }

  /** Counts a request by way of another VM, on either side. */
  countTransit(side: 'sent' | 'carried', outcome: string): void {
    this.#transits.inc({ side, outcome });
  }

  /** Counts a return of the store from an older copy. */
  countStoreReturn(): void {
    this.#storeReturns.inc();
  }

  /** Counts a wait of a request that may have run, before it is tried again. */
  countDelayedRetry(reason: string): void {
    this.#delayedRetries.inc({ reason });
  }

  /** Counts a request whose caller left. */
  countAbandoned(place: RequestPlace): void {
    this.#abandoned.inc({ place });
  }

  /** Counts a request whose body had no room, or was given up for others. */
  countMemoryRefusal(reason: 'no-room' | 'stalled'): void {
    this.#memoryRefusals.inc({ reason });
  }

  /** Counts a completed request. */
  countRequest(route: string, outcome: string): void {
    this.#requests.inc({ route, outcome });
  }

  /** Counts a completed attempt. */
  countAttempt(endpoint: string, outcome: string): void {
    this.#attempts.inc({ endpoint, outcome });
  }

  /** Records the milliseconds from arrival to the answer or first event. */
  observeFirstAnswer(route: string, ms: number): void {
    this.#firstAnswer.observe({ route }, ms / MS_PER_SECOND);
  }

  /** Records the longest time between two polls since the last record, in milliseconds. */
  observeLoopDelay(ms: number): void {
    this.#loopDelay.observe(ms / MS_PER_SECOND);
  }

  /** Renders all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    return this.#registry.metrics();
  }

  #gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `${METRIC_PREFIX}${name}`,
      help,
      registers: [this.#registry],
      collect: () => gauge.set(read()),
    });
  }
}
