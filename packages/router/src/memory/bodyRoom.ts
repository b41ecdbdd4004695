import { BodyQueue, type BodyWaiter } from './bodyQueue.js';
import { HeldBody } from './heldBody.js';
import type { HeldKind } from './heldKind.js';
import type { MemoryAccount } from './memoryAccount.js';

/** A body of this size or less waits only for others that are small. */
export const SMALL_BODY_BYTES = 65_536;

/** Parts of the limit for small bodies, and for what is read of requests that wait. */
const SMALL_FRACTION = 1 / 8;
const UNREAD_FRACTION = 1 / 6;
const LARGE_FRACTION = 1 - SMALL_FRACTION - UNREAD_FRACTION;

/** Part of the places to wait that is for small bodies. */
const SMALL_WAITING_FRACTION = 1 / 3;

/** Bytes of a body that may have been read with the head of a request that waits. */
const UNREAD_BYTES = 65_536;

/** Part of the room for large bodies that one client account may have while others wait. */
const MAX_OWNER_FRACTION = 1 / 2;

/** Time without a byte after which a body gives way while others wait. */
const MAX_STALL_MS = 2000;

/** Time without a request that waits after which memory is no longer short. */
const CALM_MS = 1000;

const MAX_LISTED_HOLDERS = 3;

/** Returns the smallest limit at which a body of a size can be held. */
export function limitForBody(bytes: number): number {
  return Math.ceil(bytes / LARGE_FRACTION);
}

/** Memory as it is short, or no longer. */
export type RoomChange = 'short' | 'ample';

/** Time as the room needs it. */
export interface RoomClock {
  /** Epoch milliseconds. */
  now(): number;
  /** Time since an instant in which this process listened, in milliseconds. */
  listenedMs(since: number): number;
}

/** Decides which bodies of requests are read, so that those held fit into the memory. */
export class BodyRoom {
  readonly #account: MemoryAccount;

  readonly #clock: RoomClock;

  readonly #notify: (change: RoomChange) => void;

  readonly #smallBytes: number;

  readonly #largeBytes: number;

  readonly #smallQueue: BodyQueue;

  readonly #largeQueue: BodyQueue;

  /** Bodies that are being read. */
  readonly #reading = new Set<HeldBody>();

  /** Bytes of large bodies by client account. */
  readonly #bytesOfOwner = new Map<string | null, number>();

  #smallHeldBytes = 0;

  #shortAt: number | null = null;

  /** `notify` is called when requests begin to wait or to be refused, and when that has ended. */
  constructor(account: MemoryAccount, clock: RoomClock, notify: (change: RoomChange) => void) {
    this.#account = account;
    this.#clock = clock;
    this.#notify = notify;
    const { limitBytes } = account;
    this.#smallBytes = limitBytes * SMALL_FRACTION;
    this.#largeBytes = limitBytes * LARGE_FRACTION;
    const places = Math.floor((limitBytes * UNREAD_FRACTION) / UNREAD_BYTES);
    const smallPlaces = Math.floor(places * SMALL_WAITING_FRACTION);
    this.#smallQueue = new BodyQueue(smallPlaces);
    this.#largeQueue = new BodyQueue(places - smallPlaces);
  }

  /** Size of the largest body that can be held. */
  get largestBytes(): number {
    return this.#largeBytes;
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.#smallQueue.size + this.#largeQueue.size;
  }

  /** Returns room for a small body; null when the request must ask for it. */
  holdSmall(kind: HeldKind, bytes: number): HeldBody | null {
    if (this.#smallQueue.size > 0 || !this.#fitsSmall(bytes)) return null;
    return this.#hold({ kind, owner: null, bytes, readBy: Number.POSITIVE_INFINITY });
  }

  /** Grants room now or later, or refuses it. */
  ask(waiter: BodyWaiter): void {
    const queue = this.#queueOf(waiter);
    if (queue.size === 0 && this.#fits(waiter)) {
      waiter.grant(this.#hold(waiter));
      return;
    }
    this.#markShort();
    this.#account.add('unread', UNREAD_BYTES);
    const refused = queue.add(waiter);
    if (refused !== undefined) this.#refuse(refused);
    this.#serve();
  }

  /** Withdraws a request whose caller has left. */
  withdraw(waiter: BodyWaiter): void {
    if (this.#queueOf(waiter).remove(waiter)) this.#account.remove('unread', UNREAD_BYTES);
  }

  /** Refuses what has waited for too long, and ends bodies that hold up others. To be called often. */
  maintain(): void {
    if (this.waiting === 0) {
      const isCalm = this.#shortAt !== null && this.#clock.now() - this.#shortAt > CALM_MS;
      if (isCalm) {
        this.#shortAt = null;
        this.#notify('ample');
      }
      return;
    }
    [this.#smallQueue, this.#largeQueue].forEach((queue) => {
      queue.listOverdue(this.#clock.now()).forEach((waiter) => {
        queue.remove(waiter);
        this.#refuse(waiter);
      });
    });
    this.#endStalled();
    this.#serve();
    if (this.waiting > 0) this.#shortAt = this.#clock.now();
  }

  /** Lists the client accounts whose large bodies take most, with their bytes. */
  listHolders(): { readonly accountId: string | null; readonly bytes: number }[] {
    return [...this.#bytesOfOwner]
      .map(([accountId, bytes]) => ({ accountId, bytes }))
      .sort((left, right) => right.bytes - left.bytes)
      .slice(0, MAX_LISTED_HOLDERS);
  }

  #queueOf({ bytes }: BodyWaiter): BodyQueue {
    return bytes <= SMALL_BODY_BYTES ? this.#smallQueue : this.#largeQueue;
  }

  /** Bytes that large bodies may take further. */
  get #freeBytes(): number {
    const { heldBytes, bytesByKind } = this.#account;
    const otherBytes = heldBytes - bytesByKind.unread - this.#smallHeldBytes;
    return this.#largeBytes - otherBytes - Math.max(0, this.#smallHeldBytes - this.#smallBytes);
  }

  #fitsSmall(bytes: number): boolean {
    return this.#smallHeldBytes + bytes <= this.#smallBytes || bytes <= this.#freeBytes;
  }

  #fits({ bytes }: BodyWaiter): boolean {
    return bytes <= SMALL_BODY_BYTES ? this.#fitsSmall(bytes) : bytes <= this.#freeBytes;
  }

  #hold(waiter: Pick<BodyWaiter, 'kind' | 'owner' | 'bytes' | 'readBy'>): HeldBody {
    const { kind, owner, bytes, readBy } = waiter;
    const isSmall = bytes <= SMALL_BODY_BYTES;
    const terms = { kind, owner, isSmall, readAt: this.#clock.now(), readBy };
    const held = new HeldBody(terms, bytes, this.#giveBack);
    this.#count(held, bytes);
    this.#reading.add(held);
    return held;
  }

  #count({ kind, owner, isSmall }: HeldBody, bytes: number): void {
    this.#account.add(kind, bytes);
    if (isSmall) {
      this.#smallHeldBytes += bytes;
      return;
    }
    const ownerBytes = (this.#bytesOfOwner.get(owner) ?? 0) + bytes;
    if (ownerBytes > 0) this.#bytesOfOwner.set(owner, ownerBytes);
    else this.#bytesOfOwner.delete(owner);
  }

  readonly #giveBack = (held: HeldBody, bytes: number): void => {
    this.#reading.delete(held);
    if (bytes !== 0) this.#count(held, -bytes);
    if (this.waiting > 0) this.#serve();
  };

  #serve(): void {
    [this.#smallQueue, this.#largeQueue].forEach((queue) => {
      for (;;) {
        const next = queue.find((waiter) => !this.#exceedsShare(waiter, queue));
        if (next === undefined || !this.#fits(next)) return;
        this.withdraw(next);
        next.grant(this.#hold(next));
      }
    });
  }

  /** True when an account must wait behind others, although it came before. */
  #exceedsShare({ bytes, owner }: BodyWaiter, queue: BodyQueue): boolean {
    const ownerBytes = this.#bytesOfOwner.get(owner) ?? 0;
    if (bytes <= SMALL_BODY_BYTES || ownerBytes === 0) return false;
    if (ownerBytes + bytes <= this.#largeBytes * MAX_OWNER_FRACTION) return false;
    return queue.find((other) => other.owner !== owner) !== undefined;
  }

  #endStalled(): void {
    const mustEndSmall = this.#smallQueue.size > 0;
    const isStalled = ({ readAt, readBy }: HeldBody) =>
      this.#clock.listenedMs(readAt) >= MAX_STALL_MS || this.#clock.now() >= readBy;
    [...this.#reading]
      .filter((held) => (mustEndSmall || !held.isSmall) && isStalled(held))
      .forEach(({ endReading }) => endReading?.());
  }

  #refuse(waiter: BodyWaiter): void {
    this.#account.remove('unread', UNREAD_BYTES);
    waiter.refuse();
  }

  #markShort(): void {
    const isNew = this.#shortAt === null;
    this.#shortAt = this.#clock.now();
    if (isNew) this.#notify('short');
  }
}
