/** An endpoint that registered itself with the platform. */
export interface RegisteredEndpoint {
  readonly id: string;
  readonly serviceId: string;
  /** IP:PORT. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Epoch milliseconds of its start; tells two lifetimes under one id apart. */
  readonly startedAt: number | null;
}

/** The endpoints that are registered, and how far the reading has come. */
export interface DirectoryState {
  readonly endpoints: Map<string, RegisteredEndpoint>;
  /** Endpoints whose entry is missing but may return, and when they count as gone. */
  readonly missing: Map<string, number>;
  /** Revision of the last change that was read; -1 before the first. */
  revision: number;
  /** True while the store does not answer. */
  isStoreLost: boolean;
  /** Until this instant an entry that lapsed in an outage may return; epoch milliseconds. */
  settledAt: number;
}

/** Creates the state of a VM that has read no entry. */
export function createDirectoryState(): DirectoryState {
  return {
    endpoints: new Map(),
    missing: new Map(),
    revision: -1,
    isStoreLost: false,
    settledAt: 0,
  };
}
