import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import type { StandInPlatform } from '@filbertlatch/standins';

import { locationOf } from './buildFleetTable.js';
import type { PlaneCommand, PlaneProgress, PlaneReply, PlaneUsage } from './planeMessages.js';

const MAX_PROCESSES = 33;
const POLL_INTERVAL_MS = 250;

/** Size and settings of a fleet of control planes. */
export interface FleetPlan {
  readonly vms: number;
  readonly zones: number;
  /** Number of VMs per zone that watch the platform; null: every VM does. */
  readonly readersPerZone: number | null;
  /** The router's setting `platform.watchSeconds`. */
  readonly watchSeconds: number;
}

/** Resources that all processes of a fleet have used together. */
export interface FleetUsage extends PlaneUsage {
  readonly processes: number;
  /** Time of the measurement, epoch milliseconds. */
  readonly at: number;
}

/** Returns the VM indexes that each process runs. */
function groupVmsByProcess(vms: number): number[][] {
  const processes = Math.min(vms, MAX_PROCESSES);
  const indexes = Array.from({ length: vms }, (_, index) => index);
  return Array.from({ length: processes }, (_, processIndex) =>
    indexes.filter((i) => i % processes === processIndex),
  );
}

/** Sends a command and waits for its reply; throws the reason of a failed one. */
async function sendCommand(child: ChildProcess, command: PlaneCommand): Promise<PlaneReply> {
  const answer = once(child, 'message') as Promise<[PlaneReply]>;
  child.send(command);
  const [reply] = await answer;
  if (reply.kind === 'failed') throw new Error(reply.reason);
  return reply;
}

/** A fleet of routers that serve no callers, several in each child process. */
export class ControlPlanes {
  readonly #plan: FleetPlan;

  readonly #platform: StandInPlatform;

  readonly #children: ChildProcess[] = [];

  constructor(plan: FleetPlan, platform: StandInPlatform) {
    this.#plan = plan;
    this.#platform = platform;
  }

  /** Starts all routers and publishes the VM list. */
  async start(): Promise<void> {
    const { zones, vms, ...rest } = this.#plan;
    const groups = groupVmsByProcess(vms);
    const file = new URL('./planeProcess.js', import.meta.url);
    const started = await Promise.all(
      groups.map(async (indexes) => {
        const child = fork(file);
        this.#children.push(child);
        const platformUrl = this.#platform.url;
        const reply = await sendCommand(child, {
          kind: 'start',
          indexes,
          zones,
          platformUrl,
          ...rest,
        });
        return reply.kind === 'started' ? reply.peers : [];
      }),
    );
    this.#platform.publishList({
      revision: 1,
      vms: started.flat().map(({ index, peerUrl }) => ({
        id: `vm-${index}`,
        peerUrl,
        ...locationOf(index, zones),
        state: 'live',
      })),
      leavingEndpoints: [],
    });
  }

  /**
   * Waits until every router is ready and has a table revision. Returns the times at which each
   * first had it, epoch milliseconds; throws after the timeout.
   */
  async waitForRevision(revision: number, timeoutMs: number): Promise<number[]> {
    const deadline = Date.now() + timeoutMs;
    for (;;) {
      const progress = await this.#progress();
      const times = progress
        .flatMap(({ seen }) => seen)
        .filter((item) => item.revision === revision)
        .map(({ at }) => at);
      const ready = progress.reduce((sum, item) => sum + item.ready, 0);
      if (ready === this.#plan.vms && times.length >= this.#plan.vms) return times;
      if (Date.now() > deadline) {
        throw new Error(
          `${times.length} of ${this.#plan.vms} routers have table revision ${revision}; ${ready} are ready`,
        );
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Returns the resources that all processes have used so far. */
  async measure(): Promise<FleetUsage> {
    const replies = await Promise.all(
      this.#children.map((c) => sendCommand(c, { kind: 'measure' })),
    );
    const usages = replies.flatMap((reply) => (reply.kind === 'use' ? [reply.use] : []));
    const sum = (pick: (usage: PlaneUsage) => number) =>
      usages.reduce((total, usage) => total + pick(usage), 0);
    return {
      cpuMs: sum((usage) => usage.cpuMs),
      bytes: sum((usage) => usage.bytes),
      memoryBytes: sum((usage) => usage.memoryBytes),
      baseMemoryBytes: sum((usage) => usage.baseMemoryBytes),
      routers: sum((usage) => usage.routers),
      processes: usages.length,
      at: Date.now(),
    };
  }

  /** Stops all routers and waits until their processes have ended. */
  async stop(): Promise<void> {
    await Promise.all(
      this.#children.map(async (child) => {
        if (child.exitCode !== null) return;
        const ended = once(child, 'exit');
        child.send({ kind: 'stop' } satisfies PlaneCommand);
        await ended;
      }),
    );
  }

  async #progress(): Promise<PlaneProgress[]> {
    const replies = await Promise.all(
      this.#children.map((c) => sendCommand(c, { kind: 'progress' })),
    );
    return replies.flatMap((reply) => (reply.kind === 'progress' ? [reply.progress] : []));
  }
}
