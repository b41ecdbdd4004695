import type { Fleet } from '../createFleet.js';
import type { KeyedRequest, Sending } from './sendKeyed.js';

interface Run {
  readonly key: string;
  readonly at: number;
}

function listRuns(fleet: Fleet): Run[] {
  const holds = fleet.services.flatMap(({ runs }) =>
    runs.flatMap(({ key, at }) => (key === null ? [] : [{ key, at }])),
  );
  const streams = fleet.engines.flatMap(({ begun }) =>
    begun.flatMap(({ tag, at }) => (tag === null ? [] : [{ key: tag, at }])),
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

function part(count: number, all: number): number {
  return all === 0 ? 1 : count / all;
}

/** Holds what callers were told against what the stand-ins ran, as figures. */
export function auditFleet(
  fleet: Fleet,
  requests: readonly KeyedRequest[],
  sendings: readonly Sending[],
): Record<string, number> {
  const runs = groupByKey(listRuns(fleet));
  const told = groupByKey(sendings);
  const once = requests.filter(({ kind }) => kind !== 'bulletin');
  const isWhole = ({ key }: KeyedRequest) =>
    told.get(key)?.some(({ result }) => result === 'whole') ?? false;
  const falseNotRun = sendings.filter(
    ({ key, run, endedAt }) =>
      run === 'not-run' && (runs.get(key)?.some(({ at }) => at < endedAt) ?? false),
  );
  const countResult = (result: Sending['result']) =>
    sendings.filter((sending) => sending.result === result).length;
  const goodputOf = (kind: KeyedRequest['kind']) => {
    const own = requests.filter((asked) => asked.kind === kind);
    return part(own.filter(isWhole).length, own.length);
  };
  const useful = requests
    .filter((asked) => asked.kind !== 'hold' && isWhole(asked))
    .reduce((sum, { tokens }) => sum + tokens, 0);
  const computed = fleet.engines.reduce((sum, engine) => sum + engine.queue.produced, 0);
  return {
    requests: requests.length,
    sendings: sendings.length,
    mostRunsOfAKey: Math.max(0, ...once.map(({ key }) => runs.get(key)?.length ?? 0)),
    doubled: countResult('doubled'),
    crossed: countResult('crossed'),
    cut: countResult('cut'),
    noAnswer: countResult('no-answer'),
    falseNotRun: falseNotRun.length,
    'goodput.hold': goodputOf('hold'),
    'goodput.headline': goodputOf('headline'),
    'goodput.bulletin': goodputOf('bulletin'),
    waste: computed === 0 ? 0 : Math.max(0, 1 - useful / computed),
    crashes: fleet.engines.reduce((sum, engine) => sum + engine.crashes.count, 0),
  };
}
