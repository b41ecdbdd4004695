import { setTimeout as sleep } from 'node:timers/promises';

import type { Table } from '@filbertlatch/core';
import { createRouter, parseSettings, type Router } from '@filbertlatch/router';
import { createPlatform } from '@filbertlatch/standins';
import type { ExecutionContext } from 'ava';

const POLL_MS = 5;

/** Token of the routers that this makes. */
export const TOKEN = 'operator-token-of-the-test';

/** Waits until something holds; the test's own timeout ends a wait in vain. */
export async function waitUntil(holds: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await holds())) await sleep(POLL_MS);
}

type Overrides = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** Starts one router with a table on loopback and stops it after the test. */
export async function createTestRouter(
  t: ExecutionContext,
  table: Table,
  overrides: Overrides = {},
): Promise<Router> {
  const platform = await createPlatform();
  t.teardown(() => platform.stop());
  const router = await createRouter(
    parseSettings({
      vm: { id: 'vm-1', zone: 'zone-a', region: 'region-1' },
      callers: { port: 0, ...overrides.callers },
      admin: { port: 0, operatorToken: TOKEN, ...overrides.admin },
      peers: { port: 0, ...overrides.peers },
      platform: { configurationUrl: platform.url, listUrl: platform.url },
      logLevel: 'error',
      seed: 1,
    }),
  );
  t.teardown(() => router.stop());
  const { peerUrl } = router;
  const vm = { id: 'vm-1', peerUrl, zone: 'zone-a', region: 'region-1', state: 'live' as const };
  platform.publishList({ revision: 1, vms: [vm], leavingEndpoints: [] });
  platform.publishTable(table);
  await waitUntil(() => router.state().table.revision === table.revision);
  return router;
}
