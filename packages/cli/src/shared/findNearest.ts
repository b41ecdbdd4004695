import { closest, distance } from 'fastest-levenshtein';

/** Largest edit distance of a suggestion, as a ratio of the suggested name’s length. */
const MAX_DISTANCE_RATIO = 0.5;

/** Returns the known name with the least edit distance to a misspelt one, or null when none is close. */
export function findNearest(name: string, known: readonly string[]): string | null {
  if (known.length === 0) return null;
  const nearest = closest(name, known);
  return distance(name, nearest) <= Math.ceil(nearest.length * MAX_DISTANCE_RATIO) ? nearest : null;
}

/** Formats the error message for an unknown name, with the nearest known one as a suggestion. */
export function describeUnknown(kind: string, name: string, known: readonly string[]): string {
  const nearest = findNearest(name, known);
  const hint = nearest === null ? '' : `; did you mean ${JSON.stringify(nearest)}?`;
  return `unknown ${kind} ${JSON.stringify(name)}${hint}`;
}
