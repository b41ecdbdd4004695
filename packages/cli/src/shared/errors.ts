/** Invalid arguments or an invalid input file; ends with EXIT_USAGE. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

/** A router that did not answer, refused or answered in an unknown shape; ends with EXIT_FAILED. */
export class AdminError extends Error {
  override readonly name = 'AdminError';
}
