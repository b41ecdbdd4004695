import type { ServerResponse } from 'node:http';

import { createRandom, type Random } from '@filbertlatch/core';
import { listen, PRIORITY_HEADER, REQUEST_ID_HEADER } from '@filbertlatch/router';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { z } from 'zod';

import { createTimedLoad, EngineModels, type LoadModel } from './engineModels.js';
import { EngineQueue, type Stream } from './engineQueue.js';
import { orderSchema } from './orderSchema.js';

const MS_PER_SECOND = 1000;
const CHARACTERS_PER_TOKEN = 4;
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
  stop(): Promise<void>;
}

const bodySchema = z.looseObject({
  model: z.string(),
  messages: z.unknown().optional(),
  prompt: z.unknown().optional(),
  max_tokens: z.number().nullish(),
  max_completion_tokens: z.number().nullish(),
  standin: z.looseObject({ tokens: z.number().int().positive().optional() }).optional(),
});

type Body = z.infer<typeof bodySchema>;

interface Env {
  readonly Bindings: HttpBindings;
}

function drawLength(random: Random): number {
  // Box-Muller: answer lengths are close to log-normal.
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return Math.max(1, Math.round(MEDIAN_TOKENS * Math.exp(LENGTH_SPREAD * normal)));
}

function chunkOf(id: string, body: Body, text: string, reason: string | null) {
  const isChat = body.messages !== undefined;
  const content = isChat ? { delta: { content: text } } : { text };
  return {
    id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model: body.model,
    choices: [{ index: 0, ...content, finish_reason: reason }],
  };
}

class EngineStream implements Stream {
  readonly promptTokens: number;

  prefillLeft: number;

  produced = 0;

  constructor(
    readonly id: string,
    readonly priority: number,
    readonly outputTokens: number,
    private readonly body: Body,
    private readonly response: ServerResponse,
    private readonly switches: EngineSwitches,
    private readonly onStart: () => void,
  ) {
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    this.promptTokens = Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
    this.prefillLeft = this.promptTokens;
  }

  onToken(index: number, isLast: boolean): void {
    if (index === 0) this.onStart();
    if (this.switches.truncatesAfter !== null && index >= this.switches.truncatesAfter) {
      this.response.destroy();
      return;
    }
    const id = this.switches.misechoes ? `other-${this.id}` : this.id;
    const chunk = chunkOf(id, this.body, ` w${index}`, isLast ? 'stop' : null);
    this.#send(JSON.stringify(chunk));
    if (!isLast) return;
    const usage = {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.outputTokens,
      total_tokens: this.promptTokens + this.outputTokens,
    };
    this.#send(JSON.stringify({ ...chunk, choices: [], usage }));
    this.#send('[DONE]');
    this.response.end();
  }

  #send(data: string): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, { 'content-type': 'text/event-stream' });
    }
    this.response.write(`data: ${data}\n\n`);
  }
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
  };
  const runs: string[] = [];
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
    const onStart = () => runs.push(id);
    queue.add(new EngineStream(id, priority, length, body, outgoing, switches, onStart));
    outgoing.once('close', () => queue.remove(id));
    return RESPONSE_ALREADY_SENT;
  });
  app.get('/load', (c) =>
    c.json({
      measuredAt: performance.timeOrigin + performance.now(),
      running: queue.running.size,
      waiting: queue.waiting.length,
      waitingTokens: queue.waiting.reduce((sum, stream) => sum + stream.promptTokens, 0),
      tokensPerSecond: (queue.running.size * MS_PER_SECOND * switches.speed) / options.stepMs,
      models: models.loaded,
    }),
  );
  app.post('/orders', async (c) => {
    const order = orderSchema.parse(await c.req.json());
    return models.take(order) ? c.json({ taken: true }) : c.json({ error: 'old order' }, 409);
  });

  let debt = 0;
  const timer = setInterval(() => {
    debt += switches.speed;
    while (debt >= 1) {
      debt -= 1;
      queue.step();
    }
  }, options.stepMs);
  const listener = await listen(app, '127.0.0.1', 0);
  return {
    id: options.id,
    url: listener.url,
    switches,
    queue,
    models,
    runs,
    stop: async () => {
      clearInterval(timer);
      await listener.close();
    },
  };
}
