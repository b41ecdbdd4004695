import {
  counterNames,
  listEjectedEndpoints,
  listLaneLengths,
  tableRevision,
  type Class,
  type Core,
} from '@filbertlatch/core';
import { Counter, Gauge, Registry } from 'prom-client';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import { standardError, standardOutput } from '../log/index.js';
import type { Attainment, ClassCounts, Percentiles, RefusalCounts } from '../observation/index.js';
import type { ControlTraffic } from './controlTraffic.js';

const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const PREFIX = 'filbertlatch_';

/** Sources of the metrics. */
export interface MetricsContext {
  readonly decider: Decider;
  readonly attainment: Attainment;
  readonly refusals: RefusalCounts;
  readonly traffic: ControlTraffic;
  /** Number of requests that have no final answer yet. */
  readonly countOpen: () => number;
}

type Labels = Readonly<Record<string, string>>;
/** Writes the value of one metric for one set of labels. */
type WriteSample = (labels: Labels, value: number) => void;

const classCounters: readonly (readonly [string, keyof ClassCounts, string])[] = [
  ['class_requests_total', 'requests', 'Requests of the class that ended.'],
  ['class_attained_total', 'met', 'Whole answers within every latency target of the class.'],
  ['class_in_window_total', 'inWindow', 'Whole answers within the window of the class.'],
  ['class_shed_total', 'shed', 'Requests of the class that were shed or refused.'],
  ['class_failed_total', 'failed', 'Requests of the class that failed at endpoints.'],
  ['class_abandoned_total', 'abandoned', 'Requests whose caller left.'],
  ['class_produced_tokens_total', 'producedTokens', 'Tokens that endpoints produced.'],
  ['class_wasted_tokens_total', 'wastedTokens', 'Tokens that nobody received in time.'],
];

function listClasses(core: Core): Class[] {
  return [...(core.table.view?.classes.values() ?? [])];
}

/** Prometheus metrics of one router: registered once, read from its state at each scrape. */
export class RouterMetrics {
  readonly #registry = new Registry();

  readonly #context: MetricsContext;

  constructor(context: MetricsContext) {
    this.#context = context;
    this.#addDecisions();
    this.#addClasses();
    this.#addPlatform();
    this.#addProcess();
  }

  /** Renders all metrics in the Prometheus text format. */
  async render(): Promise<string> {
    return this.#registry.metrics();
  }

  #addCounter(
    name: string,
    help: string,
    labels: readonly string[],
    read: (add: WriteSample) => void,
  ) {
    const counter: Counter = new Counter({
      name: `${PREFIX}${name}`,
      help,
      labelNames: labels,
      registers: [this.#registry],
      collect: () => {
        counter.reset();
        read((values, value) => counter.inc(values, value));
      },
    });
  }

  #addGauge(
    name: string,
    help: string,
    labels: readonly string[],
    read: (set: WriteSample) => void,
  ) {
    const gauge: Gauge = new Gauge({
      name: `${PREFIX}${name}`,
      help,
      labelNames: labels,
      registers: [this.#registry],
      collect: () => {
        gauge.reset();
        read((values, value) => gauge.set(values, value));
      },
    });
  }

  #addDecisions(): void {
    const { decider, refusals, countOpen } = this.#context;
    const { core } = decider;
    for (const name of counterNames) {
      this.#addCounter(`${name}_total`, `Number of ${name.replaceAll('_', ' ')}.`, [], (add) => {
        add({}, core.counters.get(name) ?? 0);
      });
    }
    const refused = 'Requests refused, by code and whether they may have run.';
    this.#addCounter('refusals_total', refused, ['code', 'verdict'], (add) => {
      refusals.list().forEach(({ code, verdict, count }) => add({ code, verdict }, count));
    });
    this.#addGauge('dropped_log_lines', 'Dropped since the start.', [], (set) => {
      set({}, standardOutput.droppedLines + standardError.droppedLines);
    });
    this.#addGauge('open_requests', 'Requests without a final answer.', [], (set) => {
      set({}, countOpen());
    });
    const help = 'Processor time of decisions, by the message that led to them.';
    this.#addCounter('decision_seconds_total', help, ['message'], (add) => {
      decider.spentMsByKind.forEach((ms, message) => add({ message }, ms / MS_PER_SECOND));
    });
  }

  #addClasses(): void {
    const { decider, attainment } = this.#context;
    const { core } = decider;
    for (const [name, field, help] of classCounters) {
      this.#addCounter(name, help, ['class', 'tier'], (add) => {
        listClasses(core).forEach(({ id, tier }) => {
          add({ class: id, tier }, attainment.totals(id)[field]);
        });
      });
    }
    this.#addQuantiles('first_token_seconds', 'From arrival to the first token.', 'firstTokenMs');
    this.#addQuantiles('between_tokens_seconds', 'Mean gap of an answer.', 'betweenTokensMs');
    this.#addQuantiles('answer_seconds', 'From arrival to the last token.', 'wholeMs');
    const labels = ['class', 'pool'];
    this.#addGauge('queue_requests', 'Requests that wait on this VM.', labels, (set) => {
      listLaneLengths(core.admission).forEach(({ classId, pool, waiting }) => {
        set({ class: classId, pool }, waiting);
      });
    });
  }

  #addQuantiles(
    name: string,
    help: string,
    field: 'firstTokenMs' | 'betweenTokensMs' | 'wholeMs',
  ): void {
    const { decider, attainment } = this.#context;
    const quantiles: readonly (readonly [string, keyof Percentiles])[] = [
      ['0.5', 'p50'],
      ['0.95', 'p95'],
      ['0.99', 'p99'],
    ];
    this.#addGauge(name, `${help} Over the last minute.`, ['class', 'quantile'], (set) => {
      listClasses(decider.core).forEach(({ id }) => {
        const percentiles = attainment.figures(id, now())[field];
        for (const [quantile, key] of quantiles) {
          const ms = percentiles[key];
          if (ms !== null) set({ class: id, quantile }, ms / MS_PER_SECOND);
        }
      });
    });
  }

  #addPlatform(): void {
    const { core } = this.#context.decider;
    this.#addGauge('table_revision', 'Revision in force; -1 before the first.', [], (set) => {
      set({}, tableRevision(core.table));
    });
    this.#addGauge('table_age_seconds', 'Since the service last answered.', [], (set) => {
      if (core.table.heardAt > 0) set({}, (now() - core.table.heardAt) / MS_PER_SECOND);
    });
    this.#addGauge(
      'list_revision',
      'Revision of the list of VMs; -1 before the first.',
      [],
      (set) => {
        set({}, core.membership.list?.revision ?? -1);
      },
    );
    this.#addGauge('list_age_seconds', 'Since the list of VMs last came.', [], (set) => {
      const { listReceivedAt } = core.membership;
      if (listReceivedAt > 0) set({}, (now() - listReceivedAt) / MS_PER_SECOND);
    });
    this.#addGauge('vms', 'VMs in the published list.', ['state'], (set) => {
      const vms = core.membership.list?.vms ?? [];
      for (const state of ['live', 'leaving']) {
        set({ state }, vms.filter((vm) => vm.state === state).length);
      }
    });
    this.#addGauge('endpoints', 'Endpoints of the table.', ['kind', 'state'], (set) => {
      const endpoints = [...(core.table.view?.endpoints.values() ?? [])];
      const ejected = new Set(listEjectedEndpoints(core.health));
      for (const kind of ['engine', 'service']) {
        const own = endpoints.filter((endpoint) => endpoint.kind === kind);
        const out = own.filter(({ id }) => ejected.has(id)).length;
        set({ kind, state: 'usable' }, own.length - out);
        set({ kind, state: 'ejected' }, out);
      }
    });
    const help = 'Bodies of calls to peers and the platform.';
    this.#addCounter('control_body_bytes_total', help, ['part', 'direction'], (add) => {
      this.#context.traffic.list().forEach(({ part, direction, bytes }) => {
        add({ part, direction }, bytes);
      });
    });
  }

  #addProcess(): void {
    this.#addCounter('process_cpu_seconds_total', 'Processor time of the process.', [], (add) => {
      const { user, system } = process.cpuUsage();
      add({}, (user + system) / MICROSECONDS_PER_SECOND);
    });
    this.#addGauge('process_resident_memory_bytes', 'Resident memory.', [], (set) => {
      set({}, process.memoryUsage.rss());
    });
    this.#addGauge('process_heap_used_bytes', 'Heap in use.', [], (set) => {
      set({}, process.memoryUsage().heapUsed);
    });
  }
}
