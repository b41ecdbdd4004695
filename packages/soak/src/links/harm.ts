/** Ways in which a link is harmed. */
export const harmWays = ['delay', 'limit', 'reset', 'cut', 'split'] as const;

/** A way in which a link is harmed. */
export type HarmWay = (typeof harmWays)[number];

/** What a harmed link does; `reset` ends what is open on it, and passes all that comes later. */
export type Harm =
  | { readonly way: 'delay'; readonly delayMs: number }
  | { readonly way: 'limit'; readonly bytesPerSecond: number }
  | { readonly way: 'reset' }
  | { readonly way: 'cut' }
  | { readonly way: 'split'; readonly pieceBytes: number };

/** Direction on a connection: from the one that opened it, or back. */
export type Side = 'forward' | 'backward';

/** Connections from a host, or to an address; null for any. */
export interface LinkPattern {
  readonly from: string | null;
  readonly to: string | null;
  readonly sides: readonly Side[];
}

/** How the bytes of one direction pass; those of a cut one wait until it is over. */
export interface Shape {
  readonly isCut: boolean;
  readonly delayMs: number;
  readonly bytesPerSecond: number;
  readonly pieceBytes: number;
}

/** How bytes pass on a link without harm. */
export const soundShape: Shape = {
  isCut: false,
  delayMs: 0,
  bytesPerSecond: Infinity,
  pieceBytes: Infinity,
};

/** Returns how bytes pass under several harms. */
export function createShape(harms: readonly Harm[]): Shape {
  return harms.reduce<Shape>((shape, harm) => {
    switch (harm.way) {
      case 'delay':
        return { ...shape, delayMs: shape.delayMs + harm.delayMs };
      case 'limit':
        return { ...shape, bytesPerSecond: Math.min(shape.bytesPerSecond, harm.bytesPerSecond) };
      case 'split':
        return { ...shape, pieceBytes: Math.min(shape.pieceBytes, harm.pieceBytes) };
      case 'cut':
        return { ...shape, isCut: true };
      default:
        return shape;
    }
  }, soundShape);
}
