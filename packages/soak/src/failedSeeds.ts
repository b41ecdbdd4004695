import type { TroubleKind } from './schedule.js';

/** A play that has failed once, and why; `the check` and `the proxy` are the soak's own. */
export interface FailedSeed {
  readonly seed: number;
  readonly seconds: number;
  readonly slots: number;
  readonly trouble: readonly TroubleKind[];
  /** Sizes other than the usual ones. */
  readonly vms?: number;
  readonly endpoints?: number;
  readonly callers?: number;
  readonly cause: string;
}

/** Usual size of the plays in the list. */
export const SIZE_OF_FAILED = { vms: 3, endpoints: 6, callers: 60 } as const;

/** All plays that have failed once; `--failed` plays them. */
export const failedSeeds: readonly FailedSeed[] = [
  {
    seed: 1,
    seconds: 12,
    slots: 15,
    trouble: ['twice'],
    cause: 'a second SIGTERM ended a VM that drained',
  },
  {
    seed: 3,
    seconds: 12,
    slots: 10,
    trouble: ['silence'],
    cause: 'a refusal for want of a place ended streams that were given up while all were silent',
  },
  {
    seed: 1,
    seconds: 12,
    slots: 15,
    trouble: ['kill', 'unframed'],
    cause: 'an answer without a length ended as complete when its endpoint was killed',
  },
  {
    seed: 2,
    seconds: 20,
    slots: 15,
    trouble: ['silence', 'kill', 'stop', 'hangup'],
    cause: 'a refused connection ended streams whose endpoint was silent',
  },
  {
    seed: 115,
    seconds: 20,
    slots: 10,
    trouble: ['silence', 'kill', 'stop', 'twice', 'hangup'],
    cause: 'a stream that waited for a place was sent to two endpoints at once',
  },
  {
    seed: 116,
    seconds: 20,
    slots: 10,
    trouble: ['silence', 'kill', 'stop', 'twice', 'hangup'],
    cause: 'a stream that waited for a place was sent to two endpoints at once',
  },
  {
    seed: 118,
    seconds: 20,
    slots: 10,
    trouble: ['silence', 'kill', 'stop', 'twice', 'hangup'],
    cause: 'a stream that waited for a place was sent to two endpoints at once',
  },
  {
    seed: 128,
    seconds: 20,
    slots: 10,
    trouble: ['silence', 'kill', 'stop', 'twice', 'hangup', 'unframed'],
    cause: 'a stream that waited for a place was sent to two endpoints at once',
  },
  {
    seed: 130,
    seconds: 20,
    slots: 10,
    trouble: ['silence', 'kill', 'stop', 'twice', 'hangup', 'unframed'],
    cause: 'a stream that waited for a place was sent to two endpoints at once',
  },
  {
    seed: 320,
    seconds: 30,
    slots: 15,
    vms: 8,
    endpoints: 12,
    callers: 120,
    trouble: ['links', 'silence', 'kill', 'stop', 'unframed', 'callers', 'freeze'],
    cause: 'the check: LATE counted what a VM sent after its own standstill',
  },
  {
    seed: 351,
    seconds: 20,
    slots: 10,
    trouble: ['links', 'silence', 'unframed', 'callers'],
    cause: 'the check: LATE counted a request that lay at an endpoint that was stopped',
  },
  {
    seed: 1,
    seconds: 25,
    slots: 15,
    trouble: ['older', 'revoke', 'store', 'stop'],
    cause: 'the check: CALM counted refusals of a VM that drained',
  },
  {
    seed: 342,
    seconds: 30,
    slots: 15,
    vms: 8,
    endpoints: 12,
    callers: 120,
    trouble: ['links', 'older', 'twice', 'hangups', 'release', 'callers', 'unframed'],
    cause:
      'the proxy held the port of an endpoint that had ended, so that a cut stream passed as complete',
  },
  {
    seed: 6,
    seconds: 14,
    slots: 15,
    trouble: ['held', 'reader', 'descriptors'],
    cause: 'a port in use at the start, or a log whose pipe was closed, ended the process',
  },
  {
    seed: 2,
    seconds: 16,
    slots: 15,
    trouble: ['halves', 'endless', 'floods', 'readers'],
    cause: 'bodies of callers and answers of the store were held without a bound',
  },
  {
    seed: 4,
    seconds: 14,
    slots: 15,
    trouble: ['endless'],
    cause: 'answers of the store were held without a bound',
  },
  {
    seed: 3,
    seconds: 14,
    slots: 15,
    trouble: ['pipeline'],
    cause: 'requests that follow each other without waiting were all read and held',
  },
  {
    seed: 2,
    seconds: 14,
    slots: 15,
    trouble: ['pipeline'],
    cause:
      'answers to later requests of a connection went with the one that a stop had marked as its last',
  },
];
