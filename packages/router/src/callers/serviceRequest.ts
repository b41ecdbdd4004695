/** Headers of a caller that go on to a plain service; all others stay here. */
const FORWARDED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'user-agent',
];

const UNPLAIN = /%2e|%2f|%5c|%00|\\|\/\//i;

/**
 * Returns the path and query at the service, or null when the path could be read in two
 * ways: a service behind the router must not be reached by a path that the router misread.
 */
export function servicePath(url: string, name: string): string | null {
  const { pathname, search } = new URL(url);
  const prefix = `/services/${name}`;
  if (!pathname.startsWith(`${prefix}/`) || UNPLAIN.test(pathname)) return null;
  return pathname.slice(prefix.length) + search;
}

/** Copies the headers that go on to a service. */
export function copyServiceHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  const copied: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (value !== undefined) copied[name] = value;
  }
  return copied;
}
