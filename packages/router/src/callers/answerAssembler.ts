import type { Chunk } from '../endpoints/engineProtocol.js';

type Choice = Record<string, unknown> & { index: number };
type Message = Record<string, unknown>;

function appendText(target: Message, field: string, text: string): void {
  const before = typeof target[field] === 'string' ? target[field] : '';
  target[field] = before + text;
}

function mergeToolCalls(message: Message, deltas: readonly Record<string, unknown>[]): void {
  const calls = (message.tool_calls ?? []) as Message[];
  message.tool_calls = calls;
  for (const { index, function: fn, ...rest } of deltas) {
    const at = Number(index ?? 0);
    const call = calls[at] ?? {};
    calls[at] = call;
    Object.assign(call, rest);
    const target = (call.function as Message | undefined) ?? {};
    call.function = target;
    for (const [field, value] of Object.entries((fn ?? {}) as Message)) {
      appendText(target, field, String(value));
    }
  }
}

function mergeDelta(message: Message, delta: Record<string, unknown>): void {
  for (const [field, value] of Object.entries(delta)) {
    if (field === 'tool_calls') mergeToolCalls(message, value as Record<string, unknown>[]);
    else if (field === 'role') message.role = value;
    else if (typeof value === 'string') appendText(message, field, value);
    else message[field] ??= value;
  }
}

// Hot path: `content` is the only field of almost every event, and needs no serialization.
function countCharacters({ content, ...rest }: Record<string, unknown>): number {
  const own = typeof content === 'string' ? content.length : 0;
  return Object.keys(rest).length === 0 ? own : own + JSON.stringify(rest).length;
}

/** Assembles the events of a stream into the answer of a call without streaming. */
export class AnswerAssembler {
  readonly #choices = new Map<number, Choice>();

  #head: Record<string, unknown> = {};

  #usage: unknown = null;

  #characterCount = 0;

  /** Characters added so far. */
  get characterCount(): number {
    return this.#characterCount;
  }

  /** Adds the next event. */
  add(chunk: Chunk): void {
    const { choices, usage, ...head } = chunk;
    this.#head = { ...head, ...this.#head };
    if (usage !== undefined && usage !== null) this.#usage = usage;
    for (const { index, delta, text, finish_reason: reason } of choices) {
      const choice = this.#choices.get(index) ?? { index, finish_reason: null };
      this.#choices.set(index, choice);
      if (reason !== undefined && reason !== null) choice.finish_reason = reason;
      if (text !== undefined) {
        this.#characterCount += text.length;
        appendText(choice, 'text', text);
      }
      if (delta !== undefined) {
        this.#characterCount += countCharacters(delta);
        const message = (choice.message ?? { role: 'assistant', content: null }) as Message;
        choice.message = message;
        mergeDelta(message, delta);
      }
    }
  }

  /** Returns the assembled answer under the request's id. */
  build(requestId: string): Record<string, unknown> {
    const chunkKind = String(this.#head.object ?? 'chat.completion.chunk');
    return {
      ...this.#head,
      id: requestId,
      object: chunkKind.replace(/\.chunk$/, ''),
      choices: [...this.#choices.values()].sort((a, b) => a.index - b.index),
      usage: this.#usage,
    };
  }
}
