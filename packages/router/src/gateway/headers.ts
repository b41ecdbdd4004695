/** Headers that are never forwarded, in lower case. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * Returns the first value of a header in a flat list of names and values; null without one. `name`
 * is in lower case.
 */
export function findHeader(headers: readonly string[], name: string): string | null {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1]!;
  }
  return null;
}

/** Returns the headers without those whose lower-case name matches a predicate. */
export function dropHeaders(
  headers: readonly string[],
  isDropped: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!;
    if (!isDropped(name.toLowerCase())) kept.push(name, headers[index + 1]!);
  }
  return kept;
}

/** Returns the headers without the hop-by-hop ones and those that `Connection` names. */
export function dropHopByHopHeaders(headers: readonly string[]): string[] {
  const named = findHeader(headers, 'connection')?.toLowerCase().split(',') ?? [];
  const namedByConnection = new Set(named.map((name) => name.trim()));
  return dropHeaders(
    headers,
    (name) => HOP_BY_HOP_HEADERS.has(name) || namedByConnection.has(name),
  );
}

/** Says whether a length or chunks delimit the body of an answer, not the end of its connection. */
export function isFramed(headers: readonly string[]): boolean {
  const lengths = ['content-length', 'transfer-encoding'];
  return lengths.some((name) => findHeader(headers, name) !== null);
}
