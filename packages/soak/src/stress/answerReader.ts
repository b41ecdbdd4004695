import { ID_HEADER } from '#standins';

/** An answer on a connection with several requests. */
export interface PipelinedAnswer {
  readonly status: number;
  /** Id of the request that it belongs to; null if it does not say. */
  readonly id: string | null;
}

function findHeader(head: string, name: string): string | null {
  return new RegExp(`^${name}: *(.*?)\\r?$`, 'im').exec(head)?.[1] ?? null;
}

/** Returns where a chunked body ends; null while it is not whole. */
function findChunkedEnd(text: string, from: number): number | null {
  let at = from;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd === -1) return null;
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    at = lineEnd + 2 + size + 2;
    if (at > text.length) return null;
    if (size === 0) return at;
  }
}

/** Splits the bytes of a connection into answers, of a stated length or in chunks without trailers. */
export class AnswerReader {
  #text = '';

  /** Whether a part of an answer has come. */
  get isInside(): boolean {
    return this.#text !== '';
  }

  /** Takes bytes; returns the answers that are whole with them. */
  push(bytes: Buffer): PipelinedAnswer[] {
    this.#text += bytes.toString('latin1');
    const answers: PipelinedAnswer[] = [];
    for (let one = this.#take(); one !== null; one = this.#take()) answers.push(one);
    return answers;
  }

  #take(): PipelinedAnswer | null {
    const headEnd = this.#text.indexOf('\r\n\r\n');
    if (headEnd === -1) return null;
    const head = this.#text.slice(0, headEnd);
    const length = findHeader(head, 'content-length');
    const from = headEnd + 4;
    const end = length === null ? findChunkedEnd(this.#text, from) : from + Number(length);
    if (end === null || end > this.#text.length) return null;
    this.#text = this.#text.slice(end);
    return {
      status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]),
      id: findHeader(head, ID_HEADER),
    };
  }
}
