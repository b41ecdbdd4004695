import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import type { StandInPlatform } from '@filbertlatch/standins';

import { placeOf } from './buildFleetTable.js';
import type { PlaneCommand, PlaneProgress, PlaneReply, PlaneUse } from './planeMessages.js';

const MOST_PROCESSES = 33;
const LOOK_MS = 250;

/** How a fleet of control planes is run. */
export interface FleetPlan {
  readonly vms: number;
  readonly zones: number;
  /** VMs a zone that watch the platform; null: all. */
  readonly readersPerZone: number | null;
  readonly watchSeconds: number;
}

/** Use of all processes of a fleet together. */
export interface FleetUse extends PlaneUse {
  readonly processes: number;
  readonly at: number;
}

function split(vms: number): number[][] {
  const processes = Math.min(vms, MOST_PROCESSES);
  const indexes = Array.from({ length: vms }, (_, index) => index);
  return Array.from({ length: processes }, (_, at) => indexes.filter((i) => i % processes === at));
}

async function ask(child: ChildProcess, command: PlaneCommand): Promise<PlaneReply> {
  const answer = once(child, 'message') as Promise<[PlaneReply]>;
  child.send(command);
  const [reply] = await answer;
  if (reply.kind === 'failed') throw new Error(reply.reason);
  return reply;
}

/** Routers without callers, several to a process, started and ended by the bench. */
export class ControlPlanes {
  readonly #plan: FleetPlan;

  readonly #platform: StandInPlatform;

  readonly #children: ChildProcess[] = [];

  constructor(plan: FleetPlan, platform: StandInPlatform) {
    this.#plan = plan;
    this.#platform = platform;
  }

  /** Starts all routers and publishes the list of them. */
  async start(): Promise<void> {
    const { zones, vms, ...rest } = this.#plan;
    const groups = split(vms);
    const file = new URL('./planeProcess.js', import.meta.url);
    const started = await Promise.all(
      groups.map(async (indexes) => {
        const child = fork(file);
        this.#children.push(child);
        const platformUrl = this.#platform.url;
        const reply = await ask(child, { kind: 'start', indexes, zones, platformUrl, ...rest });
        return reply.kind === 'started' ? reply.peers : [];
      }),
    );
    this.#platform.publishList({
      revision: 1,
      vms: started.flat().map(({ index, peerUrl }) => ({
        id: `vm-${index}`,
        peerUrl,
        ...placeOf(index, zones),
        state: 'live',
      })),
      leavingEndpoints: [],
    });
  }

  /** Waits until every router is ready and has a revision; returns when each first had it. */
  async waitForRevision(revision: number, timeoutMs: number): Promise<number[]> {
    const latest = Date.now() + timeoutMs;
    for (;;) {
      const progress = await this.#progress();
      const instants = progress
        .flatMap(({ seen }) => seen)
        .filter((item) => item.revision === revision)
        .map(({ at }) => at);
      const ready = progress.reduce((sum, item) => sum + item.ready, 0);
      if (ready === this.#plan.vms && instants.length >= this.#plan.vms) return instants;
      if (Date.now() > latest) {
        throw new Error(`${instants.length} of ${this.#plan.vms} have ${revision}; ${ready} ready`);
      }
      await sleep(LOOK_MS);
    }
  }

  /** Returns what all processes have used so far. */
  async measure(): Promise<FleetUse> {
    const replies = await Promise.all(this.#children.map((c) => ask(c, { kind: 'measure' })));
    const uses = replies.flatMap((reply) => (reply.kind === 'use' ? [reply.use] : []));
    const sum = (pick: (use: PlaneUse) => number) =>
      uses.reduce((total, use) => total + pick(use), 0);
    return {
      processorMs: sum((use) => use.processorMs),
      bytes: sum((use) => use.bytes),
      memory: sum((use) => use.memory),
      baseMemory: sum((use) => use.baseMemory),
      routers: sum((use) => use.routers),
      processes: uses.length,
      at: Date.now(),
    };
  }

  /** Ends all processes. */
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
    const replies = await Promise.all(this.#children.map((c) => ask(c, { kind: 'progress' })));
    return replies.flatMap((reply) => (reply.kind === 'progress' ? [reply.progress] : []));
  }
}
