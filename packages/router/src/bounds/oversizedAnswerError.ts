/** An answer, or a text in it, is larger than what is accepted. */
export class OversizedAnswerError extends Error {
  override readonly name = 'OversizedAnswerError';
}
