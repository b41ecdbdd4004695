import type { IncomingMessage } from 'node:http';

/** Result of reading a request's body; `cut` when the connection closed first. */
export type ReadBodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer | null }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

/** Reads a request's complete body, up to `maxBytes`; never rejects. */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<ReadBodyResult> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve({ kind: 'too-large' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve({ kind: 'too-large' });
      else chunks.push(chunk);
    });
    request.on('end', () => {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      resolve({ kind: 'whole', body: size === 0 ? null : body });
    });
    request.on('close', () => resolve({ kind: 'cut' }));
    request.on('error', () => resolve({ kind: 'cut' }));
  });
}
