/** Whom control calls go to. */
export type ControlPart = 'peers' | 'platform';

type Direction = 'sent' | 'received';

/** Bytes of the bodies of one kind of control call since start. */
export interface TrafficCount {
  readonly part: ControlPart;
  readonly direction: Direction;
  readonly bytes: number;
}

/** Counts the bytes that a VM spends on control, headers not included. */
export class ControlTraffic {
  readonly #bytes = {
    peers: { sent: 0, received: 0 },
    platform: { sent: 0, received: 0 },
  };

  /** Adds the bytes of one body. */
  add(part: ControlPart, direction: Direction, bytes: number): void {
    this.#bytes[part][direction] += bytes;
  }

  /** Lists the counts. */
  list(): TrafficCount[] {
    const parts: readonly ControlPart[] = ['peers', 'platform'];
    const directions: readonly Direction[] = ['sent', 'received'];
    return parts.flatMap((part) =>
      directions.map((direction) => ({ part, direction, bytes: this.#bytes[part][direction] })),
    );
  }
}
