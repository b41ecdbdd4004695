import {
  createRandom,
  createSchedulingState,
  ownDemand,
  ownPaceSums,
  placeJob,
  randomInteger,
  recordArrival,
  recordEnd,
  recordFirstEvent,
  recordPeerWork,
  recordSend,
  UNLIMITED,
  type PeerWork,
  type RegisteredEndpoint,
  type SchedulingState,
  type SentWork,
} from '../../src/index.js';
import { stepMs } from '../../src/scheduling/costs.js';
import { createEndpoint, createJob, headlineSize } from './fixtures.js';

const SERVICE_ID = 'engines';
const IDLE_FIRST_EVENT_MS = 40;

/** Simulated time before the first stream that counts. */
const WARM_UP_MS = 3000;

/** Interval between the messages of a VM, and how many peers get each. */
const MESSAGE_INTERVAL_MS = 100;
const MESSAGE_FANOUT = 16;

/** A fleet whose VMs send streams to engines and tell each other of them. */
export interface StreamFleet {
  readonly vms: number;
  readonly engines: number;
  readonly slots: number;
  /** Part of the slots that the streams take up on average. */
  readonly utilization: number;
  readonly durationMs: number;
  readonly seed: number;
}

interface Stream {
  readonly vm: SchedulingState;
  readonly work: SentWork;
  readonly sentAt: number;
}

interface Engine {
  readonly endpoint: RegisteredEndpoint;
  readonly running: Set<{ readonly stream: Stream; readonly endsAt: number }>;
  readonly waiting: Stream[];
}

function createReport(vm: SchedulingState, now: number): PeerWork {
  const work = [...vm.work];
  return {
    at: now,
    loads: new Map(work.map(([id, { own }]) => [id, { ...own }])),
    paces: new Map(work.map(([id, ofEndpoint]) => [id, ownPaceSums(ofEndpoint, now)])),
    borders: new Map(),
    demand: new Map([[SERVICE_ID, ownDemand(vm, SERVICE_ID, now)]]),
  };
}

/** Plays the fleet; returns the part of the streams whose first event came within `targetMs`. */
export function playStreamFleet(fleet: StreamFleet, targetMs: number): number {
  const { slots, utilization, durationMs } = fleet;
  const random = createRandom(fleet.seed);
  const vms = Array.from({ length: fleet.vms }, (_, index) => createSchedulingState(`vm-${index}`));
  const engines = Array.from({ length: fleet.engines }, (_, index): Engine => {
    const endpoint = createEndpoint(`engine-${index}`, { slots });
    return { endpoint, running: new Set(), waiting: [] };
  });
  const endpoints = engines.map(({ endpoint }) => endpoint);
  const streamMs = headlineSize.outputTokens * stepMs(slots, 0);
  const streamsPerMs = (utilization * slots * fleet.engines) / streamMs;
  const job = createJob({ routeId: 'headlines', priority: 0, size: headlineSize, slots });
  let counted = 0;
  let inTime = 0;

  const sendStream = (now: number) => {
    const vm = vms[randomInteger(random, vms.length)]!;
    recordArrival(vm, job, now);
    const context = { state: vm, endpoints, permits: UNLIMITED, zone: 'zone-a', random, now };
    const placement = placeJob(context, job);
    if (now >= WARM_UP_MS) counted += 1;
    if (placement.kind === 'refuse') return;
    const { endpoint, tokens, predictedMs } = placement;
    const planned = { endpointId: endpoint.id, tokens, predictedMs, kind: 'decode' as const };
    const work = recordSend(vm, { ...planned, size: headlineSize }, now);
    const engine = engines.find((candidate) => candidate.endpoint === endpoint)!;
    engine.waiting.push({ vm, work, sentAt: now });
  };

  const runEngine = ({ running, waiting }: Engine, now: number) => {
    running.forEach((run) => {
      if (run.endsAt > now) return;
      recordEnd(run.stream.vm, run.stream.work);
      running.delete(run);
    });
    while (running.size < slots && waiting.length > 0) {
      const stream = waiting.shift()!;
      recordFirstEvent(stream.vm, stream.work, now + IDLE_FIRST_EVENT_MS);
      const waitMs = now + IDLE_FIRST_EVENT_MS - stream.sentAt;
      if (stream.sentAt >= WARM_UP_MS && waitMs <= targetMs) inTime += 1;
      // From half to one and a half times the mean.
      running.add({ stream, endsAt: now + streamMs * (0.5 + random.next()) });
    }
  };

  const sendMessage = (vm: SchedulingState, now: number) => {
    const report = createReport(vm, now);
    const first = randomInteger(random, vms.length);
    for (let step = 0; step < Math.min(MESSAGE_FANOUT, vms.length); step += 1) {
      const peer = vms[(first + step) % vms.length]!;
      if (peer !== vm) recordPeerWork(peer, vm.vmId, report);
    }
  };

  let due = 0;
  for (let now = 0; now < durationMs; now += 1) {
    // Arrivals come in clumps, of none to twice the mean.
    due += streamsPerMs * 2 * random.next();
    for (; due >= 1; due -= 1) sendStream(now);
    engines.forEach((engine) => runEngine(engine, now));
    vms.forEach((vm, index) => {
      if ((now + index) % MESSAGE_INTERVAL_MS === 0) sendMessage(vm, now);
    });
  }
  return inTime / counted;
}
