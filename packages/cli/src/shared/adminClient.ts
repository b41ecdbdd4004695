import { readFile } from 'node:fs/promises';

import { createBoundedAgent, readBytes } from '@filbertlatch/router/gateway';
import { request, type Agent } from 'undici';
import type { z } from 'zod';

import type { Flag } from '../command.js';
import { AdminError, UsageError } from './errors.js';

/** Limit on connecting, and on waiting for the headers of a response. */
const RESPONSE_TIMEOUT_MS = 5000;
/** Largest response; a table in force may have 16 MB. */
const MAX_RESPONSE_BYTES = 33_554_432;
/** Environment variable that holds the token when no `--token-file` is given. */
const TOKEN_VARIABLE = 'FILBERTLATCH_TOKEN';

/** The flags shared by all commands that call the admin API of a router. */
export const adminFlags: Readonly<Record<string, Flag>> = {
  tokenFile: { type: 'string', help: `file with the admin API token; default: $${TOKEN_VARIABLE}` },
  ca: { type: 'string', help: 'PEM file of the authority that signed the router’s certificate' },
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
  throw new UsageError(`no token: pass --token-file or set ${TOKEN_VARIABLE}`);
}

function parseUrl(text: string): URL {
  if (URL.canParse(text) && /^https?:$/.test(new URL(text).protocol)) return new URL(text);
  throw new UsageError(`${JSON.stringify(text)} is not the URL of an admin API`);
}

function describeErrorBody(text: string): string {
  try {
    return String((JSON.parse(text) as { error?: unknown }).error ?? text);
  } catch {
    return text.slice(0, 200);
  }
}

/** HTTP client for the admin API of one or more routers. */
export class AdminClient {
  readonly #token: string;

  readonly #agent: Agent;

  private constructor(token: string, ca: string | undefined) {
    this.#token = token;
    this.#agent = createBoundedAgent({
      connect: { ca, timeout: RESPONSE_TIMEOUT_MS },
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
  }

  /** Creates a client from `adminFlags`. Throws UsageError without a token or for an unreadable file. */
  static async create(flags: Readonly<Record<string, unknown>>): Promise<AdminClient> {
    const ca = typeof flags.ca === 'string' ? await readText(flags.ca) : undefined;
    return new AdminClient(await readToken(flags.tokenFile), ca);
  }

  /** Sends a GET request and checks the response against a schema. Throws AdminError. */
  async get<S extends z.ZodType>(base: string, path: string, schema: S): Promise<z.infer<S>> {
    const parsed = schema.safeParse(await this.#call(base, path, 'GET'));
    if (parsed.success) return parsed.data;
    throw new AdminError(
      `${base}: the response to ${path} does not match the schema of this version`,
    );
  }

  /** Sends a POST request; resolves with the parsed response. Throws AdminError. */
  async post(base: string, path: string): Promise<unknown> {
    return this.#call(base, path, 'POST');
  }

  /** Closes all connections. */
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
      text = (await readBytes(response.body, MAX_RESPONSE_BYTES)).toString('utf8');
    } catch (cause) {
      throw new AdminError(`${base}: did not answer (${(cause as Error).message})`, { cause });
    }
    if (status >= 400) throw new AdminError(`${base}: ${status} ${describeErrorBody(text)}`);
    return JSON.parse(text);
  }
}

/** Runs `body` with a client and closes its connections afterwards. */
export async function withAdminClient<T>(
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
