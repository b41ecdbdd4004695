/** Headers that concern one connection only, in lower case. */
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

/** Returns the value of a header in a flat list of names and values; null without one. */
export function findHeader(headers: readonly string[], name: string): string | null {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1]!;
  }
  return null;
}

/** Returns the headers without those for which a predicate of the lower-case name holds. */
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

/** Returns the headers that may be passed on, those named by `Connection` left out too. */
export function dropHopByHopHeaders(headers: readonly string[]): string[] {
  const named = findHeader(headers, 'connection')?.toLowerCase().split(',') ?? [];
  const own = new Set(named.map((name) => name.trim()));
  return dropHeaders(headers, (name) => HOP_BY_HOP_HEADERS.has(name) || own.has(name));
}
