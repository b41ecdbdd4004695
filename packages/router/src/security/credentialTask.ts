import { watch } from 'node:fs/promises';
import { dirname } from 'node:path';
import { createSecureContext } from 'node:tls';
import { isDeepStrictEqual } from 'node:util';

import type { Logger } from 'winston';

import { RouterError } from '../errors/index.js';
import type { Settings } from '../settings/index.js';
import {
  listCredentialFiles,
  readCredentials,
  type Credentials,
  type TlsMaterial,
} from './credentials.js';

// Delay after the last file event: replacing a file raises several, and a certificate and its
// key are replaced one after the other.
const RELOAD_DELAY_MS = 200;

type Listener = (credentials: Credentials) => void;

function checkTls(material: TlsMaterial | null): void {
  if (material === null) return;
  try {
    createSecureContext(material);
  } catch (cause) {
    const message = 'the certificate and the private key are invalid or do not match';
    throw new RouterError('credentials_unreadable', message, { cause });
  }
}

async function readCheckedCredentials(settings: Settings): Promise<Credentials> {
  const credentials = await readCredentials(settings);
  [credentials.callerTls, credentials.adminTls, credentials.peerTls].forEach(checkTls);
  return credentials;
}

/** Keeps the credentials in force and reloads them when their files change. */
export class CredentialTask {
  readonly #settings: Settings;

  readonly #log: Logger;

  readonly #stop = new AbortController();

  readonly #listeners: Listener[] = [];

  #current: Credentials;

  #timer: NodeJS.Timeout | null = null;

  private constructor(settings: Settings, log: Logger, current: Credentials) {
    this.#settings = settings;
    this.#log = log;
    this.#current = current;
  }

  /** Reads the credentials for the first time. Throws RouterError when they cannot be used. */
  static async create(settings: Settings, log: Logger): Promise<CredentialTask> {
    return new CredentialTask(settings, log, await readCheckedCredentials(settings));
  }

  /** The credentials in force. */
  get current(): Credentials {
    return this.#current;
  }

  /** Adds a listener, called with the new credentials after each change. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Watches the folders of the files, so that replacing a file by a rename is noticed too. */
  start(): void {
    const folders = new Set(listCredentialFiles(this.#settings).map((path) => dirname(path)));
    folders.forEach((folder) => {
      void this.#watch(folder);
    });
  }

  /** Reads the files again; keeps the credentials in force when the new ones are unusable. */
  async reload(): Promise<void> {
    let next: Credentials;
    try {
      next = await readCheckedCredentials(this.#settings);
    } catch (error) {
      if (!(error instanceof RouterError)) throw error;
      this.#log.log('error', 'credentials_refused', { reason: error.message });
      return;
    }
    if (isDeepStrictEqual(next, this.#current)) return;
    this.#current = next;
    this.#listeners.forEach((listener) => listener(next));
    this.#log.log('info', 'credentials_reloaded');
  }

  /** Stops watching. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#stop.abort();
  }

  async #watch(folder: string): Promise<void> {
    const options = { persistent: false, signal: this.#stop.signal };
    try {
      const events = watch(folder, options)[Symbol.asyncIterator]();
      while ((await events.next()).done !== true) this.#reloadSoon();
    } catch (error) {
      if (this.#stop.signal.aborted) return;
      this.#log.log('warn', 'credentials_unwatched', { folder, reason: String(error) });
    }
  }

  #reloadSoon(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      void this.reload();
    }, RELOAD_DELAY_MS);
  }
}
