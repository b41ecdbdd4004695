import type { ServerResponse } from 'node:http';

import { createRandom, randomLogNormal, type Random } from '@filbertlatch/core';
import { listen, PRIORITY_HEADER, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';

import { createTimedLoad, EngineModels, type LoadModel } from './engineModels.js';
import { EngineQueue } from './engineQueue.js';
import { EngineStream, generationBodySchema } from './engineStream.js';
import { LoadReports, type MeasuredLoad } from './loadReports.js';
import { orderSchema } from './orderSchema.js';
import { startSteps, StepClock } from './stepClock.js';

const MS_PER_SECOND = 1000;
const MEDIAN_ANSWER_TOKENS = 60;
/** Standard deviation of the natural logarithm of an answer’s tokens. */
const ANSWER_TOKENS_SIGMA = 0.7;

/** Capacity, speed and models of a stand-in engine. */
export interface EngineOptions {
  readonly id: string;
  readonly models: readonly string[];
  /** Most streams in the batch at the same time; others wait. */
  readonly slots: number;
  /** Time of one step of the batch, which gives each running stream one token. */
  readonly stepMs: number;
  /** Prompt tokens a second, shared by the streams of the batch. */
  readonly prefillTokensPerSecond: number;
  /** Seed of the answer lengths that callers do not give. */
  readonly seed: number;
  /** Whether it refuses orders with an old fencing number; default `checked`. */
  readonly fencing?: 'checked' | 'ignored';
  /** How it loads a model; by default without delay. */
  readonly load?: LoadModel;
}

/** Failures that a test or an experiment can switch on while the engine runs; all off at start. */
export interface EngineSwitches {
  /** Ratio of the normal speed; 1 is normal, 0.1 a straggler. */
  speed: number;
  /** Whether it answers 503 to all new requests. */
  refuses: boolean;
  /** Whether its answers carry a wrong request id. */
  misechoes: boolean;
  /** Number of tokens after which it cuts the connection of each stream; null: never. */
  truncatesAfter: number | null;
  /** Age of the load report that it gives, in milliseconds; 0 is current. */
  reportLagMs: number;
  /**
   * Number of tokens from which a stream sends nothing more and stays open, even after this is
   * switched off; null: no further stream falls silent.
   */
  silentAfter: number | null;
  /** Text that makes it cut all open responses on the first token of a prompt with it; null: none. */
  crashesOn: string | null;
  /** Whether it answers 503 to requests for its load report. */
  hidesLoad: boolean;
  /** Whether its load report shows no running and no waiting streams, whatever the load. */
  reportsIdle: boolean;
  /** Whether the field `created` of each event holds the monotonic clock in microseconds, instead of 0. */
  stampsEvents: boolean;
}

/** A stream whose first token was produced. */
export interface StartedStream {
  /** The caller’s tag from the request body. */
  readonly tag: string | null;
  /** Time of the first token: monotonic clock, in milliseconds. */
  readonly at: number;
}

/** A stand-in engine that listens on loopback. */
export interface StandInEngine {
  readonly id: string;
  readonly url: string;
  readonly switches: EngineSwitches;
  readonly queue: EngineQueue;
  readonly models: EngineModels;
  /** Request ids of the streams that produced a first token, in order. */
  readonly runs: readonly string[];
  /** The same streams with their callers’ tags and start times. */
  readonly startedStreams: readonly StartedStream[];
  /** Number of crashes by `crashesOn`, each of which cuts all open responses. */
  readonly crashes: { readonly count: number };
  stop(): Promise<void>;
}

interface HonoEnv {
  readonly Bindings: HttpBindings;
}

function drawAnswerTokens(random: Random): number {
  return Math.max(
    1,
    Math.round(randomLogNormal(random, MEDIAN_ANSWER_TOKENS, ANSWER_TOKENS_SIGMA)),
  );
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

/** Starts a stand-in engine with continuous batching, priorities and switches for failures. */
export async function createEngine(options: EngineOptions): Promise<StandInEngine> {
  const random = createRandom(options.seed);
  const prefillTokensPerStep = (options.prefillTokensPerSecond * options.stepMs) / MS_PER_SECOND;
  const queue = new EngineQueue(options.slots, prefillTokensPerStep);
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
  const startedStreams: StartedStream[] = [];
  const crashes = { count: 0 };
  const openResponses = new Set<ServerResponse>();
  const load = options.load ?? createTimedLoad(0);
  const models = new EngineModels(options.models, options.fencing !== 'ignored', load);
  const app = new Hono<HonoEnv>();

  app.post('/v1/*', async (c) => {
    if (switches.refuses) return c.json({ error: { message: 'refused' } }, 503);
    const body = generationBodySchema.parse(await c.req.json());
    if (!models.serves(body.model)) return c.json({ error: { message: 'not loaded' } }, 503);
    const id = c.req.header(REQUEST_ID_HEADER) ?? 'none';
    const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? Infinity;
    const answerTokens = Math.min(maxTokens, body.standin?.tokens ?? drawAnswerTokens(random));
    const priority = Number(c.req.header(PRIORITY_HEADER) ?? 0);
    const { outgoing } = c.env;
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    openResponses.add(outgoing);
    outgoing.once('close', () => openResponses.delete(outgoing));
    const onStart = () => {
      runs.push(id);
      startedStreams.push({ tag: body.standin?.tag ?? null, at: performance.now() });
      if (switches.crashesOn === null || !prompt.includes(switches.crashesOn)) return;
      crashes.count += 1;
      [...openResponses].forEach((response) => response.destroy());
    };
    queue.add(new EngineStream(id, priority, answerTokens, body, outgoing, switches, onStart));
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
    startedStreams,
    crashes,
    stop: async () => {
      stopSteps();
      await listener.close();
    },
  };
}
