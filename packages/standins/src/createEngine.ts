import type { ServerResponse } from 'node:http';

import { createRandom, randomLogNormal, type Random } from '@filbertlatch/core';
import { listen, PRIORITY_HEADER, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';

import { createTimedLoad, EngineModels, type LoadModel } from './engineModels.js';
import { EngineQueue } from './engineQueue.js';
import { bodySchema, EngineStream } from './engineStream.js';
import { LoadReports, type MeasuredLoad } from './loadReports.js';
import { orderSchema } from './orderSchema.js';
import { startSteps, StepClock } from './stepClock.js';

const MS_PER_SECOND = 1000;
const MEDIAN_TOKENS = 60;
const LENGTH_SPREAD = 0.7;

/** How a stand-in engine behaves. */
export interface EngineOptions {
  readonly id: string;
  readonly models: readonly string[];
  readonly slots: number;
  /** Time of one step of the batch, in milliseconds. */
  readonly stepMs: number;
  readonly prefillTokensPerSecond: number;
  readonly seed: number;
  /** Whether it refuses orders with an old fencing number; it does when absent. */
  readonly fencing?: 'checked' | 'ignored';
  /** How it loads a model; at once when absent. */
  readonly load?: LoadModel;
}

/** Failures that a test or an experiment turns on; all off at start. */
export interface EngineSwitches {
  /** Part of the usual speed; 0.1 is a straggler. */
  speed: number;
  /** Answers 503 to all new requests. */
  refuses: boolean;
  /** Echoes a wrong id. */
  misechoes: boolean;
  /** Ends each stream after so many tokens, without its last events; null never. */
  truncatesAfter: number | null;
  /** Age of the load report that it gives, in milliseconds. */
  reportLagMs: number;
  /** Sends nothing more on streams that reach so many tokens now; null: none. */
  silentAfter: number | null;
  /** Breaks all its connections when it computes a prompt with this text; null: never. */
  crashesOn: string | null;
  /** Answers 503 to readers of its load. */
  hidesLoad: boolean;
  /** Reports an idle engine whatever runs. */
  reportsIdle: boolean;
  /** Writes the monotonic clock, in microseconds, as the instant of each event. */
  stampsEvents: boolean;
}

/** A stream that began to run; `at` is of the monotonic clock, in milliseconds. */
export interface BegunStream {
  readonly tag: string | null;
  readonly at: number;
}

/** A stand-in engine that listens on loopback. */
export interface StandInEngine {
  readonly id: string;
  readonly url: string;
  readonly switches: EngineSwitches;
  readonly queue: EngineQueue;
  readonly models: EngineModels;
  /** Ids of the streams that began to run, in order. */
  readonly runs: readonly string[];
  /** The same streams with the tags of their callers, and when they began. */
  readonly begun: readonly BegunStream[];
  /** Times that it broke all its connections. */
  readonly crashes: { readonly count: number };
  stop(): Promise<void>;
}

interface Env {
  readonly Bindings: HttpBindings;
}

function drawLength(random: Random): number {
  return Math.max(1, Math.round(randomLogNormal(random, MEDIAN_TOKENS, LENGTH_SPREAD)));
}

function measureLoad(
  options: EngineOptions,
  queue: EngineQueue,
  switches: EngineSwitches,
  models: readonly string[],
): MeasuredLoad {
  const running = switches.reportsIdle ? 0 : queue.running.size;
  const waiting = switches.reportsIdle ? [] : queue.waiting;
  return {
    measuredAt: performance.timeOrigin + performance.now(),
    running,
    waiting: waiting.length,
    waitingTokens: waiting.reduce((sum, stream) => sum + stream.promptTokens, 0),
    tokensPerSecond: (queue.running.size * MS_PER_SECOND * switches.speed) / options.stepMs,
    models,
  };
}

/** Starts a stand-in engine: continuous batching, priorities, and switches for failures. */
export async function createEngine(options: EngineOptions): Promise<StandInEngine> {
  const random = createRandom(options.seed);
  const prefillPerStep = (options.prefillTokensPerSecond * options.stepMs) / MS_PER_SECOND;
  const queue = new EngineQueue(options.slots, prefillPerStep);
  const switches: EngineSwitches = {
    speed: 1,
    refuses: false,
    misechoes: false,
    truncatesAfter: null,
    reportLagMs: 0,
    silentAfter: null,
    crashesOn: null,
    hidesLoad: false,
    reportsIdle: false,
    stampsEvents: false,
  };
  const runs: string[] = [];
  const begun: BegunStream[] = [];
  const crashes = { count: 0 };
  const open = new Set<ServerResponse>();
  const load = options.load ?? createTimedLoad(0);
  const models = new EngineModels(options.models, options.fencing !== 'ignored', load);
  const app = new Hono<Env>();

  app.post('/v1/*', async (c) => {
    if (switches.refuses) return c.json({ error: { message: 'refused' } }, 503);
    const body = bodySchema.parse(await c.req.json());
    if (!models.serves(body.model)) return c.json({ error: { message: 'not loaded' } }, 503);
    const id = c.req.header(REQUEST_ID_HEADER) ?? 'none';
    const most = body.max_completion_tokens ?? body.max_tokens ?? Infinity;
    const length = Math.min(most, body.standin?.tokens ?? drawLength(random));
    const priority = Number(c.req.header(PRIORITY_HEADER) ?? 0);
    const { outgoing } = c.env;
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    open.add(outgoing);
    outgoing.once('close', () => open.delete(outgoing));
    const onStart = () => {
      runs.push(id);
      begun.push({ tag: body.standin?.tag ?? null, at: performance.now() });
      if (switches.crashesOn === null || !prompt.includes(switches.crashesOn)) return;
      crashes.count += 1;
      [...open].forEach((response) => response.destroy());
    };
    queue.add(new EngineStream(id, priority, length, body, outgoing, switches, onStart));
    outgoing.once('close', () => queue.remove(id));
    return RESPONSE_ALREADY_SENT;
  });
  const reports = new LoadReports(() => measureLoad(options, queue, switches, models.loaded));
  app.get('/load', (c) => {
    if (switches.hidesLoad) return c.json({ error: { message: 'no report' } }, 503);
    return c.json(reports.read(switches.reportLagMs));
  });
  app.post('/orders', async (c) => {
    const order = orderSchema.parse(await c.req.json());
    return models.take(order) ? c.json({ taken: true }) : c.json({ error: 'old order' }, 409);
  });

  const steps = new StepClock(options.stepMs, performance.now());
  const stopSteps = startSteps(options.stepMs, () => {
    for (let due = steps.take(performance.now(), switches.speed); due > 0; due -= 1) queue.step();
    reports.record();
  });
  const listener = await listen(app, '127.0.0.1', 0);
  return {
    id: options.id,
    url: listener.url,
    switches,
    queue,
    models,
    runs,
    begun,
    crashes,
    stop: async () => {
      stopSteps();
      await listener.close();
    },
  };
}
