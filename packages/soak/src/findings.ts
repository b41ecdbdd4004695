import type { Evidence, Run, SeenRequest, SentSignal } from './evidence.js';
import { findWrongKeys } from './keyFindings.js';
import { hasWrongAnswer } from './stress/hasWrongAnswer.js';
import { MIN_TIMEOUT_FRACTION } from './traffic.js';

/** A broken rule; `id` is that of the request, if there is one. */
export interface Finding {
  readonly rule:
    | 'LOST'
    | 'ORDER'
    | 'FAULT'
    | 'TWICE'
    | 'REFUSED'
    | 'CALM'
    | 'BYTES'
    | 'LATE'
    | 'CONFIG'
    | 'MEMORY';
  readonly vm: string;
  readonly at: number;
  readonly id: string | null;
  readonly text: string;
}

/** Figures of the rules. */
const GRACE_MS = 8000;
const LATE_WORK_MS = (GRACE_MS * 5) / 6;
const SIGNAL_TO_REQUEST_MS = 3000;
const STABLE_WINDOW_MS = 3000;
const CONFIG_WINDOW_MS = 3000;
const MAX_SEND_AFTER_LEAVING_MS = 1000;
const LOSS_SLACK_MS = 200;
const SETTLED_MS = 5000;
const MIN_CALM_REQUESTS = 100;
const MIN_SERVED_IN_CALM = 0.99;
const MOST_OF_TIMEOUT = 0.7;

/** Statuses that promise that a request has not run and never will. */
const REFUSALS: readonly (number | null)[] = [408, 421, 429, 503];

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'];

type RunsById = ReadonlyMap<string, readonly Run[]>;

function groupRuns(runs: readonly Run[]): RunsById {
  const groups = new Map<string, Run[]>();
  runs.forEach((run) => {
    const group = groups.get(run.id);
    if (group === undefined) groups.set(run.id, [run]);
    else group.push(run);
  });
  return groups;
}

function findLastRun(runs: readonly Run[]): Run | undefined {
  return [...runs].sort((a, b) => a.at - b.at).at(-1);
}

/** Whether the endpoint that ran the request last was killed meanwhile. */
function wasBrokenOff({ endedAt }: SeenRequest, runs: readonly Run[], { kills }: Evidence) {
  const last = findLastRun(runs);
  if (last === undefined) return false;
  return kills.some(
    ({ endpoint, at }) =>
      endpoint === last.endpoint &&
      last.at <= at &&
      at <= endedAt &&
      (last.endedAt === null || last.endedAt >= at),
  );
}

/** Whether links of the VM were harmed, other than that to the store, at an instant or shortly before. */
function wasOutOfTouch({ harms }: Evidence, vm: string, from: number, until: number): boolean {
  return harms.some(
    (harm) =>
      !harm.isStoreOnly &&
      harm.vms.includes(vm) &&
      harm.from <= until &&
      harm.to >= from - STABLE_WINDOW_MS,
  );
}

/** Whether the VM stood still between two instants, or shortly before. */
function stoodStill({ signals }: Evidence, vm: string, from: number, until: number): boolean {
  return signals.some(
    ({ vm: name, signal, at }) =>
      name === vm &&
      (signal === 'SIGSTOP' || signal === 'SIGCONT') &&
      from - STABLE_WINDOW_MS <= at &&
      at <= until,
  );
}

/** Returns why a VM need not have read or answered a request that did not run; null if it need. */
function findUnreadExcuse(request: SeenRequest, evidence: Evidence): string | null {
  const { vm, sentAt, writtenAt, endedAt, connection, isReused } = request;
  if (connection === 'refused') return 'connection refused';
  if (writtenAt === null) return 'not sent whole';
  if (endedAt - writtenAt <= LOSS_SLACK_MS) {
    return `ended within ${LOSS_SLACK_MS} ms of its last byte`;
  }
  const isShort = evidence.shortages.some(
    (shortage) => shortage.vm === vm && shortage.from <= endedAt && shortage.to >= sentAt,
  );
  // Its connection may wait to be accepted, unread.
  if (isShort && !isReused) return 'new connection to a VM with few descriptors';
  return stoodStill(evidence, vm, sentAt, endedAt) ? 'VM stood still' : null;
}

/** Returns which exclusion of the rule applies to a request without a whole answer; null if none. */
function findExcuse(request: SeenRequest, runs: readonly Run[], evidence: Evidence): string | null {
  const { vm, sentAt, endedAt, status } = request;
  const shortestMs = request.timeoutMs * MIN_TIMEOUT_FRACTION;
  if (runs.length === 0 && status === null) {
    const excuse = findUnreadExcuse(request, evidence);
    if (excuse !== null) return excuse;
  }
  if (endedAt - sentAt >= shortestMs) return 'deadline reached';
  if (wasBrokenOff(request, runs, evidence)) return 'endpoint killed';
  if (findLastRun(runs)?.isEndless === true) return 'answer of the endpoint without end';
  if (wasOutOfTouch(evidence, vm, sentAt, endedAt)) return 'links of the VM harmed';
  const signals = evidence.signals.filter((signal) => signal.vm === vm && signal.at <= endedAt);
  const wasKilled = ({ signal, at }: SentSignal) =>
    signal === 'SIGKILL' && at >= sentAt - STABLE_WINDOW_MS;
  if (signals.some(wasKilled)) return 'VM killed';
  const isDrainOver = ({ signal, at }: SentSignal) =>
    STOP_SIGNALS.includes(signal) &&
    sentAt <= at + SIGNAL_TO_REQUEST_MS &&
    endedAt <= at + GRACE_MS + 1000 &&
    runs.some((run) => run.at < at + GRACE_MS && (run.endedAt ?? endedAt) >= at + LATE_WORK_MS);
  if (signals.some(isDrainOver)) return 'at work at the end of the grace period';
  const isBesideSignal = signals.some(({ at }) => at >= sentAt - CONFIG_WINDOW_MS);
  const hasUsedMost =
    !isBesideSignal &&
    endedAt - sentAt >= MOST_OF_TIMEOUT * shortestMs &&
    evidence.configurations.some((at) => at <= endedAt && endedAt <= at + CONFIG_WINDOW_MS);
  return hasUsedMost ? 'most of its time used beside a configuration' : null;
}

/** Counts requests without a whole answer that the rules exclude, by reason. */
export function countExcused(evidence: Evidence): Readonly<Record<string, number>> {
  const runsById = groupRuns(evidence.runs);
  const counts: Record<string, number> = {};
  evidence.requests.forEach((request) => {
    const runs = runsById.get(request.id) ?? [];
    if (request.answer === 'whole' || request.answer === 'left') return;
    const excuse = findExcuse(request, runs, evidence);
    if (excuse !== null) counts[excuse] = (counts[excuse] ?? 0) + 1;
  });
  return counts;
}

/** Says how a request without a whole answer ended. */
function describeLoss(request: SeenRequest, runs: readonly Run[]): string {
  const { status, writtenAt, endedAt, connection, isReused, error, events } = request;
  const progress = request.dueEvents > 0 ? ` after event ${events.at(-1) ?? 0}` : '';
  if (status !== null) return `status ${status}, then cut${progress} (${error})`;
  if (runs.length > 0) return `ran, and ended without an answer (${error})`;
  const unansweredMs = endedAt - (writtenAt ?? endedAt);
  const manner = `${isReused ? 'kept' : 'new'} connection ${connection}`;
  return `${manner} ${unansweredMs} ms after its last byte, without an answer (${error})`;
}

/** LOST: a request that a VM had the time to read, or that ran, and got no whole answer, nor a refusal. */
function findLost(evidence: Evidence, runsById: RunsById): Finding[] {
  return evidence.requests.flatMap((request) => {
    const { id, vm, answer, endedAt } = request;
    const runs = runsById.get(id) ?? [];
    if (hasWrongAnswer(request) && findExcuse(request, runs, evidence) === null) {
      return [{ rule: 'LOST', vm, at: endedAt, id, text: `answered ${request.status}` } as const];
    }
    if (answer === 'left' || answer === 'whole') return [];
    if (findExcuse(request, runs, evidence) !== null) return [];
    return [{ rule: 'LOST', vm, at: endedAt, id, text: describeLoss(request, runs) } as const];
  });
}

/** ORDER: a stream with a gap, of two versions, or one that ends as complete before its last event. */
function findDisorder({ requests }: Evidence): Finding[] {
  return requests.flatMap((request) => {
    const { id, vm, dueEvents, status, answer, endedAt, events, versions } = request;
    if (dueEvents === 0 || status !== 200) return [];
    const wrong = events.findIndex((event, index) => event !== index + 1);
    const create = (text: string) => [{ rule: 'ORDER', vm, at: endedAt, id, text } as const];
    if (wrong !== -1) return create(`event ${events[wrong]} where ${wrong + 1} is due`);
    if (versions.length > 1) return create(`joins the versions ${versions.join(' and ')}`);
    if (answer !== 'whole' || events.length === dueEvents) return [];
    return create(`ends as complete after event ${events.length} of ${dueEvents}`);
  });
}

/** FAULT: a process that ended other than asked, or not in the way that it should. */
function findFaults(evidence: Evidence): Finding[] {
  return evidence.ends.flatMap(({ vm, startedAt, at, code, signal }) => {
    const sent = evidence.signals.filter(
      (one) => one.vm === vm && one.at >= startedAt && one.at <= at,
    );
    const names = sent.map((one) => one.signal);
    if (signal === 'SIGKILL' && names.includes('SIGKILL')) return [];
    const asked = sent.find((one) => STOP_SIGNALS.includes(one.signal));
    const isInTime =
      asked !== undefined && (at <= asked.at + GRACE_MS || stoodStill(evidence, vm, asked.at, at));
    if (code === 0 && isInTime) return [];
    const cause =
      names.length === 0
        ? 'by itself'
        : `after ${sent.map((one) => `${one.signal} (${one.at - startedAt} ms)`).join(', ')}`;
    const text = `process ended ${at - startedAt} ms after its start ${cause}: code ${code}, signal ${signal}`;
    return [{ rule: 'FAULT', vm, at, id: null, text } as const];
  });
}

function formatMegabytes(bytes: number): string {
  return `${Math.round(bytes / 1e6)} MB`;
}

/** MEMORY: a process that held more than its machine has. */
function findExcesses({ memory }: Evidence): Finding[] {
  return memory.excesses.map(({ vm, at, bytes }) => {
    const text = `held ${formatMegabytes(bytes)} of ${formatMegabytes(memory.limitBytes)}`;
    return { rule: 'MEMORY', vm, at, id: null, text } as const;
  });
}

/** TWICE and REFUSED: run-once requests that ran twice, or ran though the answer denies it. */
function findWrongRuns({ requests }: Evidence, runsById: RunsById): Finding[] {
  return requests.flatMap(({ id, vm, kind, status, endedAt }) => {
    if (kind !== 'once') return [];
    const runs = runsById.get(id) ?? [];
    const endpoints = runs.map(({ endpoint }) => endpoint).join(', ');
    const findings: Finding[] = [];
    const add = (rule: Finding['rule'], text: string) =>
      findings.push({ rule, vm, at: endedAt, id, text });
    if (runs.length > 1) add('TWICE', `ran ${runs.length} times, at ${endpoints}`);
    if (REFUSALS.includes(status) && runs.length > 0) {
      add('REFUSED', `answered ${status}, and ran at ${endpoints}`);
    }
    return findings;
  });
}

/** Whether the endpoint of a run was stopped between an instant and the run: it may have lain there. */
function wasHeldUp({ silences }: Evidence, { endpoint, at }: Run, since: number): boolean {
  return silences.some(
    (silence) => silence.endpoint === endpoint && silence.from <= at && silence.to >= since,
  );
}

/** BYTES and LATE: an answer with other bytes, and a request that is sent long after its caller left. */
function findWrongSends(evidence: Evidence, runsById: RunsById): Finding[] {
  return evidence.requests.flatMap(({ id, vm, endedAt, status, answer, isRight }): Finding[] => {
    const runs = runsById.get(id) ?? [];
    if (!isRight) {
      return [{ rule: 'BYTES', vm, at: endedAt, id, text: 'other bytes than are due' }];
    }
    const isServed = status === 200 && answer === 'whole';
    if (isServed && runs.length > 0 && runs.every(({ isEndless }) => isEndless)) {
      return [{ rule: 'BYTES', vm, at: endedAt, id, text: 'whole, though its run had no end' }];
    }
    const late = runs.find(
      (run) =>
        answer === 'left' &&
        run.at > endedAt + MAX_SEND_AFTER_LEAVING_MS &&
        !wasHeldUp(evidence, run, endedAt) &&
        !wasOutOfTouch(evidence, vm, endedAt, run.at) &&
        !stoodStill(evidence, vm, endedAt, run.at),
    );
    if (late === undefined) return [];
    const text = `ran at ${late.endpoint} ${late.at - endedAt} ms after its caller left`;
    return [{ rule: 'LATE', vm, at: late.at, id, text }];
  });
}

/** Times in which VMs drain: from a signal to stop to the end, or that of the grace period. */
function listDrains({ signals, ends }: Evidence): { from: number; to: number }[] {
  return signals
    .filter(({ signal }) => STOP_SIGNALS.includes(signal))
    .map(({ vm, at }) => {
      const end = ends.find((one) => one.vm === vm && one.at >= at);
      return { from: at, to: Math.min(end?.at ?? Infinity, at + GRACE_MS) };
    });
}

/** CALM: too few of the requests served that were sent and ended 5 s or more after all trouble. */
function findRefusedInCalm(evidence: Evidence): Finding[] {
  const { requests, ends, startedAt, hasSparePlaces } = evidence;
  const troubles = [
    ...evidence.troubles,
    ...ends.map(({ at }) => ({ from: at, to: at })),
    ...listDrains(evidence),
  ];
  const revoked = evidence.keys.filter(({ revokedAt }) => revokedAt !== null);
  const calm = requests.filter(
    ({ sentAt, endedAt, answer, key }) =>
      answer !== 'left' &&
      revoked.every((term) => term.key !== key) &&
      sentAt >= startedAt &&
      troubles.every(({ from, to }) => endedAt < from || sentAt >= to + SETTLED_MS),
  );
  const unserved = calm.filter(({ status, answer }) => status !== 200 || answer !== 'whole');
  const [first] = unserved;
  const isServed = unserved.length <= (1 - MIN_SERVED_IN_CALM) * calm.length;
  if (!hasSparePlaces || calm.length < MIN_CALM_REQUESTS || isServed || !first) return [];
  const text = `${unserved.length} of ${calm.length} not served in calm, the first with ${first.status ?? first.error}`;
  return [{ rule: 'CALM', vm: first.vm, at: first.endedAt, id: first.id, text }];
}

/** Returns all ways in which a run broke the rules, in the order of time. */
export function findBrokenRules(evidence: Evidence): readonly Finding[] {
  const runsById = groupRuns(evidence.runs);
  return [
    ...findLost(evidence, runsById),
    ...findDisorder(evidence),
    ...findFaults(evidence),
    ...findExcesses(evidence),
    ...findWrongRuns(evidence, runsById),
    ...findWrongSends(evidence, runsById),
    ...findWrongKeys(evidence, runsById),
    ...findRefusedInCalm(evidence),
  ].sort((a, b) => a.at - b.at);
}
