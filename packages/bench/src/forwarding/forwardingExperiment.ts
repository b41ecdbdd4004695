import { createHash } from 'node:crypto';

import { checkTable, type Table } from '@filbertlatch/core';
import CliTable from 'cli-table3';
import { build, decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js';

import type { Experiment, ExperimentOptions, ExperimentResult } from '../experiments/experiment.js';
import { formatTargets } from '../formatSummary.js';
import { checkTargets, type Figures, type Target } from '../targets.js';
import { WorkerProcess } from './workerProcess.js';
import type { StreamLoad, StreamResult } from './workerMessages.js';

const ENGINE_PROCESSES = 4;
const LOAD_PROCESSES = 4;
const ENGINES_PER_PROCESS = 16;
const SLOTS_PER_ENGINE = 64;
/** Time in which an engine produces one token for each of its streams. */
const ENGINE_STEP_MS = 33;
const MEAN_TOKENS_PER_STREAM = 300;
const MS_PER_SECOND = 1000;
const US_PER_MS = 1000;
const WARMUP_MS = 2000;
const MEASURE_MS = 4000;
const MODEL = 'drafting';
const CLASS_ID = 'bulletin';
const ACCOUNT_ID = 'station';
const API_KEY = 'key-station';
/** Token events per second that a router must forward on one core. */
const TARGET_EVENTS_PER_SECOND = 25_000;
/** Offered load above the target, so that the router is the bottleneck. */
const SATURATING_EVENTS_PER_SECOND = 30_000;

const targets: readonly Target[] = [
  {
    figure: 'carriedPerCoreSecond',
    bound: 'at-least',
    value: TARGET_EVENTS_PER_SECOND,
    factor: 1,
    plus: 0,
  },
  { figure: 'half.addedP50Ms', bound: 'at-most', value: 2, factor: 1, plus: 0 },
  { figure: 'half.addedP99Ms', bound: 'at-most', value: 10, factor: 1, plus: 0 },
];

/** Measured figures of one load, sent to the engines directly or through the router. */
interface LoadFigures {
  /** Token events that reached the callers. */
  readonly eventsPerSecond: number;
  /** Number of streams that failed. */
  readonly failures: number;
  /** Time from an engine's write to a caller's read. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Average number of cores that the router's process used; about 0 when it is bypassed. */
  readonly cores: number;
  readonly rssMb: number;
  /** Fraction of the time, 0 to 1, in which the router was ready to run but waited for a core. */
  readonly waited: number;
}

function createTable(urls: readonly string[]): Table {
  const checked = checkTable({
    revision: 1,
    classes: [
      {
        id: CLASS_ID,
        tier: 'standard',
        share: 0.5,
        target: { firstTokenMs: 5000, betweenTokensMs: 100, wholeMs: 120_000 },
        maxQueue: 10_000,
      },
    ],
    accounts: [
      {
        id: ACCOUNT_ID,
        keyDigest: createHash('sha256').update(API_KEY).digest('hex'),
        homeRegion: 'region-1',
        defaultClass: CLASS_ID,
      },
    ],
    models: [{ id: MODEL }],
    endpoints: urls.map((url, index) => ({
      id: `engine-${index}`,
      kind: 'engine',
      url,
      zone: 'zone-a',
      region: 'region-1',
      slots: SLOTS_PER_ENGINE,
      models: [MODEL],
      fencing: 'checked',
    })),
    limits: [],
  });
  if (checked.ok) return checked.value;
  throw new TypeError(checked.faults.map((f) => `${f.path}: ${f.expected}`).join('; '));
}

function mergeLatencies(results: readonly StreamResult[]): Histogram {
  const all = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  results.forEach((result) => all.add(decodeFromCompressedBase64(result.latencyHistogram)));
  return all;
}

/** The processes of one experiment: engines, load generators and one router. */
class ForwardingBench {
  readonly #engineProcesses = Array.from({ length: ENGINE_PROCESSES }, () => new WorkerProcess());

  readonly #loadGenerators = Array.from({ length: LOAD_PROCESSES }, () => new WorkerProcess());

  readonly #router: WorkerProcess;

  readonly #seed: number;

  engineUrls: readonly string[] = [];

  routerUrl = '';

  constructor(seed: number, profileDirectory: string | null) {
    this.#seed = seed;
    const profiling =
      profileDirectory === null ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileDirectory}`];
    this.#router = new WorkerProcess(profiling);
  }

  /** Starts the engines, then the router with a table of them. */
  async start(): Promise<void> {
    const started = await Promise.all(
      this.#engineProcesses.map((engines, index) => {
        const firstId = index * ENGINES_PER_PROCESS;
        const seed = this.#seed + firstId;
        const group = {
          firstId,
          count: ENGINES_PER_PROCESS,
          slots: SLOTS_PER_ENGINE,
          stepMs: ENGINE_STEP_MS,
          model: MODEL,
          seed,
        };
        return engines.sendCommand({ kind: 'start-engines', group }, 'engines-started');
      }),
    );
    this.engineUrls = started.flatMap(({ urls }) => urls);
    const table = createTable(this.engineUrls);
    const { callerUrl } = await this.#router.sendCommand(
      { kind: 'start-router', table },
      'router-started',
    );
    this.routerUrl = callerUrl;
  }

  /** Sends streams that make this many token events per second to the URLs, and measures them. */
  async run(urls: readonly string[], eventsPerSecond: number): Promise<LoadFigures> {
    const streams = Math.round((eventsPerSecond * ENGINE_STEP_MS) / MS_PER_SECOND / LOAD_PROCESSES);
    const common = {
      streams,
      model: MODEL,
      apiKey: API_KEY,
      className: CLASS_ID,
      meanTokens: MEAN_TOKENS_PER_STREAM,
      warmupMs: WARMUP_MS,
      measureMs: MEASURE_MS,
    };
    const running = this.#loadGenerators.map((process, index) => {
      const rotatedUrls = [...urls.slice(index), ...urls.slice(0, index)];
      const load: StreamLoad = { ...common, urls: rotatedUrls, seed: this.#seed + index };
      return process.sendCommand({ kind: 'run-streams', load }, 'streams-ran');
    });
    await new Promise((resolve) => {
      setTimeout(resolve, WARMUP_MS);
    });
    const before = await this.#router.sendCommand({ kind: 'read-usage' }, 'usage');
    await new Promise((resolve) => {
      setTimeout(resolve, MEASURE_MS);
    });
    const after = await this.#router.sendCommand({ kind: 'read-usage' }, 'usage');
    const results = (await Promise.all(running)).map(({ result }) => result);
    const latencies = mergeLatencies(results);
    return {
      eventsPerSecond: results.reduce((sum, { events, seconds }) => sum + events / seconds, 0),
      failures: results.reduce((sum, { failures }) => sum + failures, 0),
      p50Ms: latencies.getValueAtPercentile(50) / US_PER_MS,
      p99Ms: latencies.getValueAtPercentile(99) / US_PER_MS,
      cores: (after.cpuMs - before.cpuMs) / (after.atMs - before.atMs),
      rssMb: after.rssBytes / 1_048_576,
      waited: (after.waitedMs - before.waitedMs) / (after.atMs - before.atMs),
    };
  }

  /** Ends all processes. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.#engineProcesses, ...this.#loadGenerators, this.#router].map((p) => p.stop()),
    );
  }
}

function nameFigures(name: string, load: LoadFigures): [string, number][] {
  return Object.entries(load).map(([key, value]) => [`${name}.${key}`, value as number]);
}

function formatLoadFigures(loads: Readonly<Record<string, LoadFigures>>): string {
  const head = [
    'load',
    'events/s',
    'failures',
    'p50 ms',
    'p99 ms',
    'router cores',
    'core wait',
    'rss MB',
  ];
  const table = new CliTable({ head, style: { head: [], border: [] } });
  for (const [name, s] of Object.entries(loads)) {
    table.push([
      name,
      Math.round(s.eventsPerSecond),
      s.failures,
      s.p50Ms.toFixed(2),
      s.p99Ms.toFixed(2),
      s.cores.toFixed(2),
      `${(s.waited * 100).toFixed(1)}%`,
      Math.round(s.rssMb),
    ]);
  }
  return table.toString();
}

function computeFigures(
  loads: Readonly<Record<'halfDirect' | 'half' | 'fullDirect' | 'full', LoadFigures>>,
): Figures {
  const { halfDirect, half, full } = loads;
  const added = {
    carriedPerSecond: full.eventsPerSecond,
    carriedPerCoreSecond: full.eventsPerSecond / Math.max(1, full.cores),
    'half.addedP50Ms': half.p50Ms - halfDirect.p50Ms,
    'half.addedP99Ms': half.p99Ms - halfDirect.p99Ms,
    'half.cpuMsPer1000Events': (half.cores * 1_000_000) / half.eventsPerSecond,
    'full.cpuMsPer1000Events': (full.cores * 1_000_000) / full.eventsPerSecond,
  };
  const entries = Object.entries(loads).flatMap(([name, s]) => nameFigures(name, s));
  return { ...Object.fromEntries(entries), ...added };
}

/** Measures the router's own cost: the same load directly to the engines and through one router. */
export const forwardingExperiment: Experiment = {
  name: 'forwarding',
  summary: 'One router on one core: token events forwarded, latency added, CPU time.',
  async run(options: ExperimentOptions): Promise<ExperimentResult> {
    const bench = new ForwardingBench(options.seed, options.profileDirectory);
    try {
      await bench.start();
      const loads = {
        // The highest load runs first to warm up the code: a daemon runs for days.
        fullDirect: await bench.run(bench.engineUrls, SATURATING_EVENTS_PER_SECOND),
        full: await bench.run([bench.routerUrl], SATURATING_EVENTS_PER_SECOND),
        halfDirect: await bench.run(bench.engineUrls, TARGET_EVENTS_PER_SECOND / 2),
        half: await bench.run([bench.routerUrl], TARGET_EVENTS_PER_SECOND / 2),
      };
      const figures = computeFigures(loads);
      const results = checkTargets(targets, figures, []);
      options.write(formatLoadFigures(loads));
      options.write(formatTargets(results));
      return { figures, targets: results };
    } finally {
      await bench.stop();
    }
  },
};
