/** Size of the blocks into which small chunks are copied. */
const BLOCK_BYTES = 65_536;

/** Chunks of this size are kept as they are. */
const MIN_WHOLE_BYTES = 16_384;

/** Chunks from which on small ones are copied; most answers have fewer. */
const MAX_SMALL_CHUNKS = 64;

/** Chunks of bytes that become one; each small chunk kept by itself would cost far more than its bytes. */
export class ByteCollector {
  #whole: Buffer[] = [];

  #block: Buffer | null = null;

  #blockLength = 0;

  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Adds bytes. */
  add(chunk: Buffer): void {
    this.#length += chunk.length;
    if (chunk.length >= MIN_WHOLE_BYTES || this.#whole.length < MAX_SMALL_CHUNKS) {
      this.#endBlock();
      this.#whole.push(chunk);
      return;
    }
    if (this.#blockLength + chunk.length > BLOCK_BYTES) this.#endBlock();
    this.#block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
    chunk.copy(this.#block, this.#blockLength);
    this.#blockLength += chunk.length;
  }

  /** Returns all bytes. */
  join(): Buffer {
    this.#endBlock();
    return this.#whole.length === 1 ? this.#whole[0]! : Buffer.concat(this.#whole, this.#length);
  }

  /** Frees the memory. */
  clear(): void {
    this.#whole = [];
    this.#block = null;
    this.#blockLength = 0;
    this.#length = 0;
  }

  #endBlock(): void {
    if (this.#block === null) return;
    this.#whole.push(this.#block.subarray(0, this.#blockLength));
    this.#block = null;
    this.#blockLength = 0;
  }
}
