/** What the bytes are that a process holds for others. */
export const HELD_KINDS = [
  'request',
  'transit',
  'unread',
  'answer',
  'pipelined',
  'control',
  'publication',
] as const;

/** What the bytes are that a process holds for others. */
export type HeldKind = (typeof HELD_KINDS)[number];
