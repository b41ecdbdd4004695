/** A call that cannot be understood, or input that cannot be used. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

/** A router that did not answer as it should. */
export class AdminError extends Error {
  override readonly name = 'AdminError';
}
