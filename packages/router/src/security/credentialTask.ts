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

// One replacement of a file raises several events; a pair of files is replaced one by one.
const SETTLE_MS = 200;

type Listener = (credentials: Credentials) => void;

function checkTls(material: TlsMaterial | null): void {
  if (material === null) return;
  try {
    createSecureContext(material);
  } catch (cause) {
    const message = 'the certificate and the key do not fit together';
    throw new RouterError('credentials_unreadable', message, { cause });
  }
}

async function readChecked(settings: Settings): Promise<Credentials> {
  const credentials = await readCredentials(settings);
  [credentials.callerTls, credentials.adminTls, credentials.peerTls].forEach(checkTls);
  return credentials;
}

/** The task that owns the credentials and reads them again when their files change. */
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
    return new CredentialTask(settings, log, await readChecked(settings));
  }

  /** The credentials in force. */
  get current(): Credentials {
    return this.#current;
  }

  /** Names a listener that is told of every change. */
  onChange(listener: Listener): void {
    this.#listeners.push(listener);
  }

  /** Watches the folders of the files: a file that is replaced by a rename is seen too. */
  start(): void {
    const folders = new Set(listCredentialFiles(this.#settings).map((path) => dirname(path)));
    folders.forEach((folder) => {
      void this.#watch(folder);
    });
  }

  /** Reads the files again; keeps what is in force when they cannot be used. */
  async reload(): Promise<void> {
    let next: Credentials;
    try {
      next = await readChecked(this.#settings);
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
    }, SETTLE_MS);
  }
}
