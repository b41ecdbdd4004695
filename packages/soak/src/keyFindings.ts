import type { Evidence, Run, SeenRequest } from './evidence.js';
import type { Finding } from './findings.js';

/** Time in which a configuration comes into force, and a VM that was disturbed is in touch again. */
const APPLY_MS = 2000;
const STABLE_WINDOW_MS = 3000;

/** Time after a sign of a version from which it must not be undone. */
const ROLLBACK_SLACK_MS = 2000;

type RunsById = ReadonlyMap<string, readonly Run[]>;

/** Whether the VM and the store were undisturbed for the window before a request, and until its end. */
function wasInTouch({ vm, sentAt, endedAt }: SeenRequest, evidence: Evidence): boolean {
  const { signals, ends, harms, storeFailures } = evidence;
  const overlaps = ({ from, to }: { from: number; to: number }) =>
    from <= endedAt && to >= sentAt - STABLE_WINDOW_MS;
  const disturbances = [
    ...signals.filter((signal) => signal.vm === vm && signal.signal !== 'SIGHUP'),
    ...ends.filter((end) => end.vm === vm),
  ].map(({ at }) => ({ from: at, to: at }));
  const ownHarms = harms.filter(({ vms }) => vms.includes(vm));
  return ![...disturbances, ...ownHarms, ...storeFailures].some(overlaps);
}

function countLifetime({ vm, sentAt }: SeenRequest, { ends }: Evidence): number {
  return ends.filter((end) => end.vm === vm && end.at <= sentAt).length;
}

/** Whether the VM has refused the key since it was revoked, and not ended since. */
function wasRefusedBefore(request: SeenRequest, revokedAt: number, evidence: Evidence): boolean {
  const lifetime = countLifetime(request, evidence);
  return evidence.requests.some(
    (other) =>
      other.key === request.key &&
      other.vm === request.vm &&
      other.status === 401 &&
      other.sentAt >= revokedAt &&
      other.endedAt + ROLLBACK_SLACK_MS < request.sentAt &&
      countLifetime(other, evidence) === lifetime,
  );
}

/** CONFIG: a request that runs with a key that was revoked, or is refused with one that is in force. */
export function findWrongKeys(evidence: Evidence, runsById: RunsById): Finding[] {
  return evidence.requests.flatMap((request): Finding[] => {
    const { id, vm, key, sentAt, endedAt, status } = request;
    const term = evidence.keys.find((one) => one.key === key);
    if (term === undefined) return [];
    const create = (text: string): Finding[] => [{ rule: 'CONFIG', vm, at: endedAt, id, text }];
    const { addedAt, revokedAt } = term;
    const isTouched = wasInTouch(request, evidence);
    if (revokedAt !== null && (runsById.get(id) ?? []).length > 0) {
      const afterMs = sentAt - revokedAt;
      if (afterMs > APPLY_MS && isTouched) {
        return create(`ran with a key that was revoked ${afterMs} ms before`);
      }
      if (wasRefusedBefore(request, revokedAt, evidence)) {
        return create('ran with a key that the VM had refused');
      }
    }
    const isInForce = sentAt > addedAt + APPLY_MS && (revokedAt === null || endedAt < revokedAt);
    if (status !== 401 || !isInForce || !isTouched) return [];
    return create('refused with a key that is in force');
  });
}
