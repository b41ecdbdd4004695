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

const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

// Encoded dots, slashes and control characters, once or twice over, and empty segments.
const UNPLAIN = /%(25)*(2e|2f|5c|[01][0-9a-f]|7f)|\\|\/\//i;

/** Says whether calls with a method are passed on to plain services. */
export function isServiceMethod(method: string): boolean {
  return METHODS.has(method);
}

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
