import type { Writable } from 'node:stream';

/** Bytes that wait until a slow reader takes them; a single line may be longer. */
const MAX_WAITING_BYTES = 262_144;

/**
 * Writes lines to standard output or standard error. A reader that goes, stops to read or has no room
 * ends nothing and holds up nothing: the lines are dropped, and their number is in the next one.
 */
export class LineOutput {
  readonly #openStream: () => Writable;

  /** Opened by the first line, since opening it takes time of the start. */
  #stream: Writable | null = null;

  #droppedLines = 0;

  #reportedLines = 0;

  constructor(openStream: () => Writable) {
    this.#openStream = openStream;
  }

  /** Lines that were not written since the start. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Writes one line; the line end is added. */
  write(line: string): void {
    const unreported = this.#droppedLines - this.#reportedLines;
    const report = { level: 'warn', message: 'lines_dropped', droppedLines: unreported };
    const text = unreported === 0 ? `${line}\n` : `${JSON.stringify(report)}\n${line}\n`;
    const stream = this.#open();
    const waitingBytes = stream.writableLength;
    if (waitingBytes > 0 && waitingBytes + Buffer.byteLength(text) > MAX_WAITING_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    this.#reportedLines += unreported;
    stream.write(text, (error) => this.#handleWritten(error, unreported));
  }

  #open(): Writable {
    if (this.#stream === null) {
      this.#stream = this.#openStream();
      // Without a listener it would end the process; the write that failed is told, too.
      this.#stream.on('error', () => {});
    }
    return this.#stream;
  }

  #handleWritten(error: Error | null | undefined, reported: number): void {
    if (error === null || error === undefined) return;
    this.#droppedLines += 1;
    this.#reportedLines -= reported;
  }
}

/** The standard output of this process. */
export const standardOutput = new LineOutput(() => process.stdout);

/** The standard error of this process. */
export const standardError = new LineOutput(() => process.stderr);
