import type { ServerResponse } from 'node:http';

import * as z from 'zod';

import type { EngineSwitches } from './createEngine.js';
import type { Stream } from './engineQueue.js';

const CHARACTERS_PER_TOKEN = 4;
const NS_PER_US = 1000;

/** Request body for generated text; `standin` sets the answer’s tokens and a tag for the test. */
export const generationBodySchema = z.looseObject({
  model: z.string(),
  messages: z.unknown().optional(),
  prompt: z.unknown().optional(),
  max_tokens: z.number().nullish(),
  max_completion_tokens: z.number().nullish(),
  stream: z.boolean().nullish(),
  standin: z
    .looseObject({ tokens: z.number().int().positive().optional(), tag: z.string().optional() })
    .optional(),
});

/** A parsed request body for generated text. */
export type GenerationBody = z.infer<typeof generationBodySchema>;

function readMonotonicUs(): number {
  return Math.round(Number(process.hrtime.bigint()) / NS_PER_US);
}

function createChunk(
  id: string,
  body: GenerationBody,
  created: number,
  text: string,
  reason: string | null,
) {
  const isChat = body.messages !== undefined;
  const content = isChat ? { delta: { content: text } } : { text };
  return {
    id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    created,
    model: body.model,
    choices: [{ index: 0, ...content, finish_reason: reason }],
  };
}

/** One answer of a stand-in engine, streamed token by token or sent at once as the caller asked. */
export class EngineStream implements Stream {
  readonly promptTokens: number;

  promptTokensLeft: number;

  outputTokensProduced = 0;

  #isSilent = false;

  constructor(
    readonly id: string,
    readonly priority: number,
    readonly outputTokens: number,
    private readonly body: GenerationBody,
    private readonly response: ServerResponse,
    private readonly switches: EngineSwitches,
    private readonly onStart: () => void,
  ) {
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    this.promptTokens = Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN));
    this.promptTokensLeft = this.promptTokens;
  }

  onToken(index: number, isLast: boolean): void {
    if (index === 0) this.onStart();
    if (this.switches.truncatesAfter !== null && index >= this.switches.truncatesAfter) {
      this.response.destroy();
      return;
    }
    const { silentAfter } = this.switches;
    if (silentAfter !== null && index >= silentAfter) this.#isSilent = true;
    if (this.#isSilent) return;
    if (this.body.stream !== true) {
      if (isLast) this.#sendWhole();
      return;
    }
    const id = this.switches.misechoes ? `other-${this.id}` : this.id;
    const created = this.switches.stampsEvents ? readMonotonicUs() : 0;
    const chunk = createChunk(id, this.body, created, ` w${index}`, isLast ? 'stop' : null);
    this.#send(JSON.stringify(chunk));
    if (!isLast) return;
    this.#send(JSON.stringify({ ...chunk, choices: [], usage: this.#usage() }));
    this.#send('[DONE]');
    this.response.end();
  }

  #usage() {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.outputTokens,
      total_tokens: this.promptTokens + this.outputTokens,
    };
  }

  #sendWhole(): void {
    const words = Array.from({ length: this.outputTokens }, (_, index) => ` w${index}`).join('');
    const choice = { index: 0, finish_reason: 'stop' };
    const message = { role: 'assistant', content: words };
    const isChat = this.body.messages !== undefined;
    const answer = {
      id: this.switches.misechoes ? `other-${this.id}` : this.id,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: 0,
      model: this.body.model,
      choices: [isChat ? { ...choice, message } : { ...choice, text: words }],
      usage: this.#usage(),
    };
    this.response.writeHead(200, { 'content-type': 'application/json' });
    this.response.end(JSON.stringify(answer));
  }

  #send(data: string): void {
    if (!this.response.headersSent) {
      this.response.writeHead(200, { 'content-type': 'text/event-stream' });
    }
    this.response.write(`data: ${data}\n\n`);
  }
}
