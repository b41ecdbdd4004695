import {
  countCrashes,
  recordCrash,
  recordProbeResult,
  takeDueProbes,
  type RegisteredEndpoint,
} from '@filbertlatch/core';
import { Client } from 'undici';

import { now } from '../clock.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayState } from './gatewayState.js';

/** Time-out of a health check; a healthy endpoint answers within it even when its queue is full. */
const PROBE_TIMEOUT_MS = 1000;

/** Minimum time between two probes of an endpoint; an earlier one would tell nothing new. */
const MIN_PROBE_INTERVAL_MS = 500;

/** A broken connection counts as part of a crash when the probe fails within this time after it. */
const CRASH_WINDOW_MS = 2500;

/** An attempt sent at `startedAt` whose connection broke at `at`, in epoch milliseconds. */
interface BrokenAttempt {
  readonly fingerprint: string;
  readonly at: number;
  readonly startedAt: number;
}

/** Checks the health of endpoints, each time on a new connection. */
export class ProbeTask {
  readonly #state: GatewayState;

  readonly #log: GatewayLog;

  readonly #probedAt = new Map<string, number>();

  readonly #brokenAttempts = new Map<string, BrokenAttempt[]>();

  constructor(state: GatewayState, log: GatewayLog) {
    this.#state = state;
    this.#log = log;
  }

  /**
   * Records a request whose connection broke: if a probe finds a crash, the request is a suspect.
   */
  recordBrokenAttempt(endpointId: string, fingerprint: string, startedAt: number): void {
    const at = now();
    const recent = (this.#brokenAttempts.get(endpointId) ?? []).filter(
      (known) => at - known.at < CRASH_WINDOW_MS,
    );
    recent.push({ fingerprint, at, startedAt });
    this.#brokenAttempts.set(endpointId, recent);
    this.#log.decision('attempt_broken', { fingerprint, endpointId });
  }

  /** Starts a probe of an endpoint, unless it was just probed. */
  probe(endpointId: string): void {
    const last = this.#probedAt.get(endpointId) ?? 0;
    if (now() - last < MIN_PROBE_INTERVAL_MS) return;
    const endpoint = this.#state.directory.endpoints.get(endpointId);
    if (endpoint === undefined) return;
    this.#probedAt.set(endpointId, now());
    void this.#checkHealth(endpoint);
  }

  /** Probes the ejected endpoints whose ejection time is over. */
  probeEjected(): void {
    takeDueProbes(this.#state.health, now()).forEach((id) => {
      this.#probedAt.delete(id);
      this.probe(id);
    });
  }

  /** Discards the records of endpoints that are no longer registered. */
  forgetRemoved(isRegistered: (endpointId: string) => boolean): void {
    [...this.#probedAt.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => {
        this.#probedAt.delete(id);
        this.#brokenAttempts.delete(id);
      });
  }

  async #checkHealth(endpoint: RegisteredEndpoint): Promise<void> {
    const { routing, health } = this.#state;
    const path = routing.configuration?.services.get(endpoint.serviceId)?.healthPath ?? '/';
    const client = new Client(`http://${endpoint.address}`);
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const { statusCode, body } = await client.request({ method: 'GET', path, signal });
      await body.dump();
      recordProbeResult(health, endpoint.id, statusCode === 200, now());
      this.#log.change('endpoint_probed', { endpointId: endpoint.id, statusCode });
    } catch (error) {
      recordProbeResult(health, endpoint.id, false, now());
      this.#recordCrashes(endpoint.id);
      const fields = { endpointId: endpoint.id, error: String(error) };
      this.#log.change('endpoint_unreachable', fields);
    } finally {
      void client.destroy();
    }
  }

  #recordCrashes(endpointId: string): void {
    const instant = now();
    const broken = this.#brokenAttempts.get(endpointId) ?? [];
    this.#brokenAttempts.delete(endpointId);
    for (const { fingerprint, at, startedAt } of broken) {
      if (instant - at > CRASH_WINDOW_MS) continue;
      const { suspects } = this.#state;
      recordCrash(suspects, { fingerprint, endpointId, at, startedAt, isAlone: false });
      const known = countCrashes(suspects, fingerprint, instant);
      this.#log.decision('crash_recorded', { fingerprint, endpointId, ...known });
    }
  }
}
