/** A header name as HTTP defines it. */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Says whether all names in a flat list of header names and values are well-formed. The runtime's
 * parser lets others pass, such as one with a space.
 */
export function hasValidHeaderNames(rawHeaders: readonly string[]): boolean {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (!TOKEN.test(rawHeaders[index]!)) return false;
  }
  return true;
}
