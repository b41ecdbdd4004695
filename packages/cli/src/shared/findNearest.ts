import { closest, distance } from 'fastest-levenshtein';

const LARGEST_PART = 0.5;

/** Returns the known name that is nearest to a misspelt one, or null when none is near. */
export function findNearest(name: string, known: readonly string[]): string | null {
  if (known.length === 0) return null;
  const nearest = closest(name, known);
  return distance(name, nearest) <= Math.ceil(nearest.length * LARGEST_PART) ? nearest : null;
}

/** Describes an unknown name, with the nearest known one. */
export function describeUnknown(kind: string, name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known);
  const hint = nearest === null ? '' : `; did you mean ${JSON.stringify(nearest)}?`;
  return `unknown ${kind} ${JSON.stringify(name)}${hint}`;
}
