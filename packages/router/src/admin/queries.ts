import {
  countInFlight,
  listEjectedEndpoints,
  ownVmState,
  listPoolIds,
  tableRevision,
  type Core,
  type Endpoint,
} from '@filbertlatch/core';
import type { Context, Hono } from 'hono';
import * as z from 'zod';

import { now } from '../clock.js';
import { explainRecord, ATTAINMENT_WINDOW_MS } from '../observation/index.js';
import type { AdminContext } from './adminContext.js';
import { dumpClasses } from './dumpClasses.js';
import { dumpState } from './dumpState.js';
import type {
  accountsSchema,
  classesSchema,
  endpointsSchema,
  membersSchema,
  requestSchema,
  tableSchema,
} from './schemas.js';

const MAX_ACCOUNTS_PER_PAGE = 1000;

const pageSchema = z.object({
  offset: z.coerce.number().int().min(0).default(0),
  limit: z.coerce.number().int().min(1).max(MAX_ACCOUNTS_PER_PAGE).default(MAX_ACCOUNTS_PER_PAGE),
});

function dumpTable(core: Core): z.infer<typeof tableSchema> {
  const { table } = core;
  const { view, refused } = table;
  return {
    vm: core.membership.self.id,
    revision: tableRevision(table),
    ageMs: table.heardAt === 0 ? null : now() - table.heardAt,
    refused: refused === null ? null : { revision: refused.revision, faults: [...refused.faults] },
    classes: [...(view?.classes.values() ?? [])],
    models: [...(view?.models.values() ?? [])],
    endpoints: [...(view?.endpoints.values() ?? [])],
    limits: [...(view?.limits.values() ?? [])],
    accountCount: view?.accounts.size ?? 0,
  };
}

function dumpAccounts(
  core: Core,
  { offset, limit }: z.infer<typeof pageSchema>,
): z.infer<typeof accountsSchema> {
  const accounts = [...(core.table.view?.accounts.values() ?? [])];
  const page = accounts.slice(offset, offset + limit);
  return {
    total: accounts.length,
    offset,
    accounts: page.map(({ keyDigest, ...account }) => account),
  };
}

function dumpClassReports(context: AdminContext): z.infer<typeof classesSchema> {
  const { core } = context.decider;
  return {
    vm: core.membership.self.id,
    tableRevision: tableRevision(core.table),
    windowMs: ATTAINMENT_WINDOW_MS,
    classes: dumpClasses(core, context.attainment, now()),
  };
}

function dumpEndpoints(core: Core, pool: string | undefined): z.infer<typeof endpointsSchema> {
  const ejected = new Set(listEjectedEndpoints(core.health));
  const isInPool = (endpoint: Endpoint) =>
    pool === undefined || listPoolIds(endpoint).some((own) => own === pool);
  const endpoints = [...(core.table.view?.endpoints.values() ?? [])].filter(isInPool);
  return {
    vm: core.membership.self.id,
    endpoints: endpoints.map((endpoint) => {
      const { id, kind, zone, region, state, slots } = endpoint;
      const inFlight = countInFlight(core.placement, id);
      const isEjected = ejected.has(id);
      return {
        id,
        kind,
        pools: listPoolIds(endpoint),
        zone,
        region,
        state,
        slots,
        inFlight,
        isEjected,
      };
    }),
  };
}

type MemberReport = z.infer<typeof membersSchema>['members'][number];

function describeSelf({
  membership,
  table,
}: Core): Omit<MemberReport, 'id' | 'zone' | 'region' | 'state'> {
  return {
    told: ownVmState(membership),
    heardAgoMs: 0,
    listRevision: membership.list?.revision ?? -1,
    tableRevision: tableRevision(table),
  };
}

function describePeer({ membership }: Core, id: string, instant: number) {
  const member = membership.members.get(id);
  const heartbeat = member?.heartbeat ?? null;
  return {
    told: heartbeat?.state ?? null,
    heardAgoMs: member === undefined ? null : instant - member.heardAt,
    listRevision: heartbeat?.listRevision ?? null,
    tableRevision: heartbeat?.tableRevision ?? null,
  };
}

function dumpMembers(core: Core): z.infer<typeof membersSchema> {
  const { self, list } = core.membership;
  const instant = now();
  return {
    vm: self.id,
    listRevision: list?.revision ?? -1,
    members: (list?.vms ?? []).map(({ id, zone, region, state }) => ({
      id,
      zone,
      region,
      state,
      ...(id === self.id ? describeSelf(core) : describePeer(core, id, instant)),
    })),
  };
}

function explainRequest(c: Context, { decisions }: AdminContext, id: string): Response {
  const record = decisions.find(id);
  if (record === undefined) {
    return c.json({ error: `this VM knows of no request ${JSON.stringify(id)} any more` }, 404);
  }
  const answer: z.infer<typeof requestSchema> = { ...record, explanation: explainRecord(record) };
  return c.json(answer);
}

function readAccounts(c: Context, core: Core): Response {
  const page = pageSchema.safeParse(c.req.query());
  if (page.success) return c.json(dumpAccounts(core, page.data));
  const issue = page.error.issues[0];
  return c.json({ error: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}` }, 400);
}

/** Adds the read-only queries of the API, for readers and operators. */
export function addQueries(api: Hono, context: AdminContext): void {
  const { decider, attainment, metrics } = context;
  const { core } = decider;
  api.get('/admin/state', (c) => c.json(dumpState(core, attainment, now())));
  api.get('/admin/table', (c) => c.json(dumpTable(core)));
  api.get('/admin/table/accounts', (c) => readAccounts(c, core));
  api.get('/admin/classes', (c) => c.json(dumpClassReports(context)));
  api.get('/admin/endpoints', (c) => c.json(dumpEndpoints(core, c.req.query('pool'))));
  api.get('/admin/members', (c) => c.json(dumpMembers(core)));
  api.get('/admin/requests/:id', (c) => explainRequest(c, context, c.req.param('id')));
  api.get('/metrics', async (c) => c.text(await metrics.render()));
}
