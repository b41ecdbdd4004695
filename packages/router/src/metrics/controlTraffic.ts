/** Other side of a control call. */
export type ControlPart = 'peers' | 'platform';

type Direction = 'sent' | 'received';

/** Body bytes sent to or received from one side since the process started. */
export interface TrafficCount {
  readonly part: ControlPart;
  readonly direction: Direction;
  readonly bytes: number;
}

/** Counts the body bytes of a VM's control calls, without headers. */
export class ControlTraffic {
  readonly #bytes = {
    peers: { sent: 0, received: 0 },
    platform: { sent: 0, received: 0 },
  };

  /** Adds the bytes of one body. */
  add(part: ControlPart, direction: Direction, bytes: number): void {
    this.#bytes[part][direction] += bytes;
  }

  /** Lists the counts of both sides and directions. */
  list(): TrafficCount[] {
    const parts: readonly ControlPart[] = ['peers', 'platform'];
    const directions: readonly Direction[] = ['sent', 'received'];
    return parts.flatMap((part) =>
      directions.map((direction) => ({ part, direction, bytes: this.#bytes[part][direction] })),
    );
  }
}
