import { lastContactAt, lastPeerContactAt, silenceOf } from '@filbertlatch/core';

import { now } from '../clock.js';
import type { ConnectionTable } from './connectionTable.js';
import type { ContactTask } from './contactTask.js';
import type { GatewayState } from './gatewayState.js';

/** Time for which what is known of a service is used again: many requests ask at the same time. */
const MAX_AGE_MS = 50;

/** What this VM has heard of one service; epoch milliseconds. */
interface ServiceNews {
  readonly at: number;
  /** When an endpoint was last heard here. */
  readonly heardAt: number;
  /** When a peer last heard one. */
  readonly peerHeardAt: number;
  /** Endpoints that have requests of this VM. */
  readonly busyIds: ReadonlySet<string>;
}

/** Tells a whole service that is silent from one endpoint of it. */
export class ServiceSilence {
  readonly #state: GatewayState;

  readonly #connections: Pick<ConnectionTable, 'lastHeardAt'>;

  readonly #contacts: Pick<ContactTask, 'isChecking' | 'isLost'>;

  /** By service id. */
  readonly #news = new Map<string, ServiceNews>();

  constructor(
    state: GatewayState,
    connections: Pick<ConnectionTable, 'lastHeardAt'>,
    contacts: Pick<ContactTask, 'isChecking' | 'isLost'>,
  ) {
    this.#state = state;
    this.#connections = connections;
    this.#contacts = contacts;
  }

  /**
   * True when nobody has heard a service since an instant (epoch milliseconds), though this VM has
   * lost it or has requests at other endpoints than the given one. What peers hear does not count
   * while checks of this VM are unanswered: its links may be cut.
   */
  isSilent(serviceId: string, endpointId: string | null, since: number): boolean {
    const { heardAt, peerHeardAt, busyIds } = this.#look(serviceId);
    if (heardAt > since) return false;
    const isLost = this.#contacts.isLost(serviceId);
    if (!isLost && this.#isInDoubt(serviceId)) return true;
    if (peerHeardAt > since) return false;
    return isLost || busyIds.size > (endpointId !== null && busyIds.has(endpointId) ? 1 : 0);
  }

  #isInDoubt(serviceId: string): boolean {
    const isSilent = silenceOf(this.#state.contacts, serviceId) !== null;
    return isSilent || this.#contacts.isChecking(serviceId);
  }

  #look(serviceId: string): ServiceNews {
    const instant = now();
    const known = this.#news.get(serviceId);
    if (known !== undefined && instant - known.at < MAX_AGE_MS) return known;
    const news = this.#gather(serviceId, instant);
    this.#news.set(serviceId, news);
    return news;
  }

  #gather(serviceId: string, at: number): ServiceNews {
    const { contacts, directory, scheduling } = this.#state;
    const peerHeardAt = lastPeerContactAt(contacts, serviceId);
    let heardAt = lastContactAt(contacts, serviceId);
    const busyIds = new Set<string>();
    directory.endpoints.forEach(({ id, serviceId: ofService }) => {
      if (ofService !== serviceId) return;
      heardAt = Math.max(heardAt, this.#connections.lastHeardAt(id));
      const own = scheduling.work.get(id)?.own;
      if (own !== undefined && own.waiting + own.streaming > 0) busyIds.add(id);
    });
    return { at, heardAt, peerHeardAt, busyIds };
  }
}
