/**
 * Frees the memory of a buffer, which is empty from then on. The runtime collects a new object that is
 * moved there soon; one as old as a body waits for a collection of the whole heap, which bytes outside
 * of it do not bring about in time. No write of the buffer may be in progress.
 */
export function freeBuffer({ buffer }: Buffer): void {
  structuredClone(buffer, { transfer: [buffer as ArrayBuffer] });
}
