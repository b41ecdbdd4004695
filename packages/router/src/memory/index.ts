export { SMALL_BODY_BYTES, BodyRoom, limitForBody, type RoomChange } from './bodyRoom.js';
export type { BodyWaiter } from './bodyQueue.js';
export { freeBuffer } from './freeBuffer.js';
export type { HeldBody } from './heldBody.js';
export { HELD_KINDS, type HeldKind } from './heldKind.js';
export { MemoryAccount } from './memoryAccount.js';
export { defaultLimitBytes, machineBytes, MIN_LIMIT_BYTES } from './memoryLimit.js';
