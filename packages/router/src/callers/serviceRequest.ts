/** Request headers that are forwarded to a plain service; all others are dropped. */
const FORWARDED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
  'idempotency-key',
  'if-match',
  'if-none-match',
  'user-agent',
];

const SERVICE_METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Dots, slashes and control characters in single or repeated encoding, and empty segments. */
const AMBIGUOUS_PATH = /%(25)*(2e|2f|5c|[01][0-9a-f]|7f)|\\|\/\//i;

/** Returns whether calls with this HTTP method are forwarded to plain services. */
export function isServiceMethod(method: string): boolean {
  return SERVICE_METHODS.has(method);
}

/**
 * Returns the path and query at the service, or null when the path is ambiguous: the service could
 * resolve it to something other than the router did.
 */
export function servicePath(url: string, name: string): string | null {
  const { pathname, search } = new URL(url);
  const prefix = `/services/${name}`;
  if (!pathname.startsWith(`${prefix}/`) || AMBIGUOUS_PATH.test(pathname)) return null;
  return pathname.slice(prefix.length) + search;
}

/** Copies the headers that are forwarded to a plain service. */
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
