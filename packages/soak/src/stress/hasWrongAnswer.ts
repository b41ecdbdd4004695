import type { SeenRequest } from '../evidence.js';

/** What a caller that brings a VM to its limits may be answered: its answer, or a refusal. */
const RIGHT_STATUSES: readonly number[] = [200, 408, 413, 429, 503];

/** Whether a caller that brings a VM to its limits got an answer that is neither its own nor a refusal. */
export function hasWrongAnswer({ stress, answer, status }: SeenRequest): boolean {
  return (
    stress !== undefined &&
    answer === 'whole' &&
    status !== null &&
    !RIGHT_STATUSES.includes(status)
  );
}
