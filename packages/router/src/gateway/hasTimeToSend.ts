/** A request is sent only with at least this time left: with less, no answer arrives in time. */
const MIN_SEND_TIME_MS = 20;

/** Says whether a request may be sent so long before its deadline; both in epoch milliseconds. */
export function hasTimeToSend(deadlineAt: number, now: number): boolean {
  return deadlineAt - now >= MIN_SEND_TIME_MS;
}
