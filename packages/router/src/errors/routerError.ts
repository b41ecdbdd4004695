import type { Fault } from '@filbertlatch/core';

/** Codes of the errors that the library throws. */
export type RouterErrorCode =
  | 'settings_unreadable'
  | 'settings_invalid'
  | 'credentials_unreadable'
  | 'address_unusable'
  | 'platform_unavailable'
  | 'peer_unavailable'
  | 'answer_too_large';

/** Base class of all errors that the library throws; `code` tells them apart. */
export class RouterError extends Error {
  readonly code: RouterErrorCode;

  constructor(code: RouterErrorCode, message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
    this.code = code;
  }
}

/** Settings that are not valid; the message and `faults` name every fault. */
export class SettingsError extends RouterError {
  readonly faults: readonly Fault[];

  constructor(faults: readonly Fault[]) {
    const lines = faults.map((f) => `${f.path}: expected ${f.expected}, found ${f.found}`);
    super('settings_invalid', lines.join('\n'));
    this.faults = faults;
  }
}

/** The configuration service or the list of VMs failed, or gave an unusable answer. */
export class PlatformError extends RouterError {
  constructor(message: string, options?: ErrorOptions) {
    super('platform_unavailable', message, options);
  }
}

/** A peer did not answer a call, or answered with an error. */
export class PeerError extends RouterError {
  constructor(message: string, options?: ErrorOptions) {
    super('peer_unavailable', message, options);
  }
}
