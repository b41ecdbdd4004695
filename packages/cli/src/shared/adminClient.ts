import { readFile } from 'node:fs/promises';

import { Agent, request } from 'undici';
import type { z } from 'zod';

import type { Flag } from '../command.js';
import { AdminError, UsageError } from './errors.js';

const TIMEOUT_MS = 5000;
const TOKEN_VARIABLE = 'FILBERTLATCH_TOKEN';

/** The flags of each command that calls a router. */
export const adminFlags: Readonly<Record<string, Flag>> = {
  tokenFile: { type: 'string', help: `file with the token; else ${TOKEN_VARIABLE} is read` },
  ca: { type: 'string', help: 'PEM file with the authority of the router’s certificate' },
};

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (cause) {
    throw new UsageError(`${path}: cannot be read`, { cause });
  }
}

async function readToken(path: unknown): Promise<string> {
  const text = typeof path === 'string' ? await readText(path) : process.env[TOKEN_VARIABLE];
  const token = text?.split('\n')[0]?.trim() ?? '';
  if (token !== '') return token;
  throw new UsageError(`no token: give --token-file or set ${TOKEN_VARIABLE}`);
}

function parseUrl(text: string): URL {
  if (URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)) return new URL(text);
  throw new UsageError(`${JSON.stringify(text)} is not the address of an admin API`);
}

function describeAnswer(text: string): string {
  try {
    return String((JSON.parse(text) as { error?: unknown }).error ?? text);
  } catch {
    return text.slice(0, 200);
  }
}

/** Calls the admin API of routers. */
export class AdminClient {
  readonly #token: string;

  readonly #agent: Agent;

  private constructor(token: string, ca: string | undefined) {
    this.#token = token;
    this.#agent = new Agent({ connect: { ca, timeout: TIMEOUT_MS }, headersTimeout: TIMEOUT_MS });
  }

  /** Creates a client from a command's flags. Throws UsageError without a token. */
  static async create(flags: Readonly<Record<string, unknown>>): Promise<AdminClient> {
    const ca = typeof flags.ca === 'string' ? await readText(flags.ca) : undefined;
    return new AdminClient(await readToken(flags.tokenFile), ca);
  }

  /** Asks a query and checks the answer's shape. Throws AdminError. */
  async get<S extends z.ZodType>(base: string, path: string, schema: S): Promise<z.infer<S>> {
    const parsed = schema.safeParse(await this.#call(base, path, 'GET'));
    if (parsed.success) return parsed.data;
    throw new AdminError(`${base}: answered ${path} in a shape of another version`);
  }

  /** Gives a command. Throws AdminError. */
  async post(base: string, path: string): Promise<unknown> {
    return this.#call(base, path, 'POST');
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(base: string, path: string, method: 'GET' | 'POST'): Promise<unknown> {
    const url = new URL(path, parseUrl(base));
    const headers = { authorization: `Bearer ${this.#token}` };
    let status: number;
    let text: string;
    try {
      const response = await request(url, { method, headers, dispatcher: this.#agent });
      status = response.statusCode;
      text = await response.body.text();
    } catch (cause) {
      throw new AdminError(`${base}: did not answer (${(cause as Error).message})`, { cause });
    }
    if (status >= 400) throw new AdminError(`${base}: ${status} ${describeAnswer(text)}`);
    return JSON.parse(text);
  }
}

/** Calls routers and closes the connections afterwards. */
export async function withAdmin<T>(
  flags: Readonly<Record<string, unknown>>,
  body: (client: AdminClient) => Promise<T>,
): Promise<T> {
  const client = await AdminClient.create(flags);
  try {
    return await body(client);
  } finally {
    await client.close();
  }
}
