import { isReady, nextId, type PoolId, type RefusalCode, type Request } from '@filbertlatch/core';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';
import type { z } from 'zod';

import { now } from '../clock.js';
import type { Decider } from '../decider/index.js';
import type { Settings } from '../settings/index.js';
import type { Exchange, Payload } from './exchange.js';
import type { Exchanges } from './exchanges.js';
import { chatSchema, completionSchema, type GenerateBody } from './generateRequest.js';
import { CLASS_HEADER, identifyCaller, type Caller } from './identifyCaller.js';
import type { KeyedAnswers } from './keyedAnswers.js';
import { keyIssueTime } from './keyIssueTime.js';
import { digestPrompt } from './promptDigest.js';
import { limitBody } from './limitBody.js';
import { refusalBody, refusalHeaders, refusalStatus } from './refusalResponse.js';
import { copyServiceHeaders, isServiceMethod, servicePath } from './serviceRequest.js';
import { StreamedExchange } from './streamedExchange.js';
import { BufferedExchange } from './bufferedExchange.js';

const MS_PER_SECOND = 1000;
const NOT_FOUND = 404;
/** Output tokens assumed when a call sets no limit. */
const DEFAULT_MAX_TOKENS = 4096;
/** Header with the caller's time limit, in milliseconds. */
const CALLER_TIMEOUT_HEADER = 'filbertlatch-timeout-ms';
/** Header with the idempotency key. */
const KEY_HEADER = 'idempotency-key';
/** Header that forbids a second run with the value `false`. */
const REPEATABLE_HEADER = 'filbertlatch-repeatable';

interface Env {
  readonly Bindings: HttpBindings;
}
type KnownCaller = Extract<Caller, { ok: true }>;

/** The tasks and settings that the caller API uses. */
export interface CallerContext {
  readonly decider: Decider;
  readonly exchanges: Exchanges;
  readonly keyed: KeyedAnswers;
  readonly settings: Settings;
}

/** The part of a request that its body and route decide. */
interface RequestDraft {
  readonly pool: PoolId;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly prefixes: readonly string[];
  readonly fingerprint: string;
  readonly repeatable: boolean;
}

function refuse(c: Context<Env>, code: RefusalCode, message: string): Response {
  const retryable = code === 'not_ready' || code === 'overloaded';
  const refusal = {
    code,
    message,
    verdict: 'not-run',
    retryable,
    retryAfterMs: retryable ? 1000 : null,
  } as const;
  const id = 'none';
  return new Response(JSON.stringify(refusalBody(refusal, id)), {
    status: refusalStatus(refusal),
    headers: refusalHeaders(refusal, id),
  });
}

function readTimeoutMs(c: Context<Env>, caller: KnownCaller): number {
  const requestedMs = Number(c.req.header(CALLER_TIMEOUT_HEADER));
  const { wholeMs } = caller.requestClass.target;
  return Number.isFinite(requestedMs) && requestedMs > 0 ? Math.min(requestedMs, wholeMs) : wholeMs;
}

function buildRequest(
  c: Context<Env>,
  context: CallerContext,
  caller: KnownCaller,
  draft: RequestDraft,
): Request {
  const arrivedAt = now();
  const key = c.req.header(KEY_HEADER);
  const repeatable = draft.repeatable && c.req.header(REPEATABLE_HEADER) !== 'false';
  return {
    ...draft,
    id: nextId(context.decider.core, 'r'),
    accountId: caller.account.id,
    classId: caller.requestClass.id,
    arrivedAt,
    deadline: arrivedAt + readTimeoutMs(c, caller),
    repeatable: repeatable && caller.requestClass.repeatable,
    key: key === undefined ? null : `${caller.account.id}/${key}`,
    keyIssuedAt: key === undefined ? null : keyIssueTime(key),
  };
}

// The answer of a request with a key is kept for a resend, even after its callers disconnected.
function openKeyed(context: CallerContext, c: Context<Env>, caller: Exchange): Response {
  const { id } = caller.request;
  const opened = context.keyed.open(caller);
  c.env.outgoing.once('close', () => {
    context.keyed.leave(caller);
    if (opened?.isAlone !== true || context.exchanges.find(id) === undefined) return;
    context.decider.post({ kind: 'caller-left', requestId: id });
  });
  if (opened === null) return RESPONSE_ALREADY_SENT;
  context.exchanges.add(opened);
  context.decider.post({ kind: 'request-arrived', request: caller.request });
  return RESPONSE_ALREADY_SENT;
}

function openExchange(context: CallerContext, c: Context<Env>, exchange: Exchange): Response {
  const { id, key } = exchange.request;
  if (key !== null) return openKeyed(context, c, exchange);
  context.exchanges.add(exchange);
  c.env.outgoing.once('close', () => {
    if (context.exchanges.take(id) === undefined) return;
    context.decider.post({ kind: 'caller-left', requestId: id });
  });
  context.decider.post({ kind: 'request-arrived', request: exchange.request });
  return RESPONSE_ALREADY_SENT;
}

async function readJson(c: Context<Env>): Promise<unknown> {
  try {
    return await c.req.json();
  } catch {
    return undefined;
  }
}

function draftGenerate(body: GenerateBody, accountId: string): RequestDraft {
  const { messages, prompt, ...options } = body;
  const { model } = options;
  const digest = digestPrompt(messages ?? prompt, { accountId, ...options });
  return {
    pool: `model:${model}`,
    promptTokens: digest.tokens,
    maxOutputTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    prefixes: digest.prefixes,
    fingerprint: digest.fingerprint,
    repeatable: true,
  };
}

function describeIssue(error: z.ZodError): string {
  const issue = error.issues[0];
  return `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'not valid JSON'}`;
}

function createGenerateHandler(
  context: CallerContext,
  path: '/v1/chat/completions' | '/v1/completions',
  schema: typeof chatSchema | typeof completionSchema,
) {
  const { stallSeconds, maxAnswerBytes } = context.settings.callers;
  const stallMs = stallSeconds * MS_PER_SECOND;
  return async (c: Context<Env>): Promise<Response> => {
    const { core } = context.decider;
    const caller = identifyCaller(core, c.req.header('authorization'), c.req.header(CLASS_HEADER));
    if (!caller.ok) return refuse(c, caller.code, caller.message);
    const parsed = schema.safeParse(await readJson(c));
    if (!parsed.success) return refuse(c, 'invalid_request', describeIssue(parsed.error));
    const body = parsed.data;
    if (!core.table.view?.models.has(body.model)) {
      return refuse(c, 'model_not_found', `There is no model ${JSON.stringify(body.model)}.`);
    }
    const request = buildRequest(c, context, caller, draftGenerate(body, caller.account.id));
    const payload: Payload = { kind: 'generate', path, body };
    const exchange =
      body.stream === true
        ? new StreamedExchange(request, payload, c.env.outgoing, stallMs)
        : new BufferedExchange(request, payload, c.env.outgoing, maxAnswerBytes);
    return openExchange(context, c, exchange);
  };
}

function createServiceHandler(context: CallerContext) {
  return async (c: Context<Env>): Promise<Response> => {
    const { core } = context.decider;
    const caller = identifyCaller(core, c.req.header('authorization'), c.req.header(CLASS_HEADER));
    if (!caller.ok) return refuse(c, caller.code, caller.message);
    const name = c.req.param('name') ?? '';
    const pool: PoolId = `service:${name}`;
    const member = core.table.view?.pools.get(pool)?.[0];
    if (member?.kind !== 'service') {
      return refuse(c, 'service_not_found', `There is no service ${JSON.stringify(name)}.`);
    }
    const path = servicePath(c.req.url, name);
    if (path === null) return refuse(c, 'invalid_request', 'The path is not in its plain form.');
    if (!isServiceMethod(c.req.method)) {
      return refuse(c, 'invalid_request', `The method ${c.req.method} is not passed on.`);
    }
    const body = Buffer.from(await c.req.arrayBuffer());
    const { method } = c.req;
    const digest = digestPrompt(body.toString('base64'), {
      accountId: caller.account.id,
      service: name,
      method,
      path,
    });
    const request = buildRequest(c, context, caller, {
      pool,
      promptTokens: 1,
      maxOutputTokens: 1,
      prefixes: [],
      fingerprint: digest.fingerprint,
      repeatable: member.repeatableMethods.includes(method),
    });
    const headers = copyServiceHeaders(c.req.header());
    const payload: Payload = { kind: 'service', method, path, headers, body };
    const { maxAnswerBytes } = context.settings.callers;
    return openExchange(
      context,
      c,
      new BufferedExchange(request, payload, c.env.outgoing, maxAnswerBytes),
    );
  };
}

function listModels(context: CallerContext) {
  const models = [...(context.decider.core.table.view?.models.keys() ?? [])];
  return {
    object: 'list',
    data: models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'filbertlatch' })),
  };
}

/** Creates the HTTP API for callers: completions, models, plain services and health. */
export function createCallerApi(context: CallerContext): Hono<Env> {
  const api = new Hono<Env>();
  const { maxBodyBytes, maxOpenRequests } = context.settings.callers;
  api.use(async (c, next) => {
    if (context.exchanges.size < maxOpenRequests) return next();
    return refuse(c, 'overloaded', 'This VM holds as many requests as it may; send it again.');
  });
  api.use(
    limitBody(maxBodyBytes, (c) =>
      refuse(c, 'invalid_request', `The body is over ${maxBodyBytes} bytes.`),
    ),
  );
  api.post(
    '/v1/chat/completions',
    createGenerateHandler(context, '/v1/chat/completions', chatSchema),
  );
  api.post('/v1/completions', createGenerateHandler(context, '/v1/completions', completionSchema));
  api.get('/v1/models', (c) => c.json(listModels(context)));
  api.all('/services/:name/*', createServiceHandler(context));
  api.get('/health', (c) => c.json({ status: 'up' }));
  api.get('/ready', (c) => {
    const ready = isReady(context.decider.core.membership);
    return c.json({ ready }, ready ? 200 : 503);
  });
  api.notFound((c) => {
    const { body, headers } = refuse(c, 'invalid_request', `There is no ${c.req.path}.`);
    return new Response(body, { status: NOT_FOUND, headers });
  });
  api.onError((_error, c) => refuse(c, 'internal', 'The router failed before anything ran.'));
  return api;
}
