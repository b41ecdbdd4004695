import type { Fleet } from '../createFleet.js';
import type { KeyedRequest, Sending } from './sendKeyedRequest.js';

/** One run of a request at a stand-in, by the key or tag that the request carried. */
interface KeyedRun {
  readonly key: string;
  /** When it began, on the clock of `performance.now()`, in milliseconds. */
  readonly at: number;
}

function listKeyedRuns(fleet: Fleet): KeyedRun[] {
  const holds = fleet.services.flatMap(({ runs }) =>
    runs.flatMap(({ key, at }) => (key === null ? [] : [{ key, at }])),
  );
  const streams = fleet.engines.flatMap(({ startedStreams }) =>
    startedStreams.flatMap(({ tag, at }) => (tag === null ? [] : [{ key: tag, at }])),
  );
  return [...holds, ...streams];
}

function groupByKey<T extends { readonly key: string }>(items: readonly T[]): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const group = groups.get(item.key);
    if (group === undefined) groups.set(item.key, [item]);
    else group.push(item);
  });
  return groups;
}

function fractionOf(count: number, all: number): number {
  return all === 0 ? 1 : count / all;
}

/**
 * Compares what callers were told with what the stand-ins ran. `falseNotRun` counts answers with
 * the verdict `not-run` to requests that had begun to run.
 */
export function auditFleet(
  fleet: Fleet,
  requests: readonly KeyedRequest[],
  sendings: readonly Sending[],
): Record<string, number> {
  const runs = groupByKey(listKeyedRuns(fleet));
  const sendingsByKey = groupByKey(sendings);
  const onceOnlyRequests = requests.filter(({ kind }) => kind !== 'bulletin');
  const isWhole = ({ key }: KeyedRequest) =>
    sendingsByKey.get(key)?.some(({ result }) => result === 'whole') ?? false;
  const falseNotRun = sendings.filter(
    ({ key, run, endedAt }) =>
      run === 'not-run' && (runs.get(key)?.some(({ at }) => at < endedAt) ?? false),
  );
  const countResult = (result: Sending['result']) =>
    sendings.filter((sending) => sending.result === result).length;
  const goodputOf = (kind: KeyedRequest['kind']) => {
    const own = requests.filter((request) => request.kind === kind);
    return fractionOf(own.filter(isWhole).length, own.length);
  };
  const usefulTokens = requests
    .filter((request) => request.kind !== 'hold' && isWhole(request))
    .reduce((sum, { tokens }) => sum + tokens, 0);
  const computedTokens = fleet.engines.reduce(
    (sum, engine) => sum + engine.queue.producedTokens,
    0,
  );
  return {
    requests: requests.length,
    sendings: sendings.length,
    mostRunsOfAKey: Math.max(0, ...onceOnlyRequests.map(({ key }) => runs.get(key)?.length ?? 0)),
    doubled: countResult('doubled'),
    crossed: countResult('crossed'),
    cut: countResult('cut'),
    noAnswer: countResult('no-answer'),
    falseNotRun: falseNotRun.length,
    'goodput.hold': goodputOf('hold'),
    'goodput.headline': goodputOf('headline'),
    'goodput.bulletin': goodputOf('bulletin'),
    waste: computedTokens === 0 ? 0 : Math.max(0, 1 - usefulTokens / computedTokens),
    crashes: fleet.engines.reduce((sum, engine) => sum + engine.crashes.count, 0),
  };
}
