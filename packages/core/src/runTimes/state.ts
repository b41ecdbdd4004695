/** How long requests took lately, by route. */
export interface RunTimeState {
  /** Milliseconds from the first send to the end of the answer, oldest first; by route id. */
  readonly recentMs: Map<string, number[]>;
}

/** Creates the state of a VM that has served nothing. */
export function createRunTimeState(): RunTimeState {
  return { recentMs: new Map() };
}
