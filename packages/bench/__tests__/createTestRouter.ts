import { setTimeout as sleep } from 'node:timers/promises';

import type { Table } from '@filbertlatch/core';
import { createRouter, parseSettings, type Router } from '@filbertlatch/router';
import { createPlatform } from '@filbertlatch/standins';
import type { ExecutionContext } from 'ava';

const POLL_INTERVAL_MS = 5;

/** Operator token of the routers that createTestRouter starts. */
export const TEST_OPERATOR_TOKEN = 'operator-token-of-the-test';

/** Polls until a condition holds; without a timeout of its own, as the test's ends it. */
export async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) await sleep(POLL_INTERVAL_MS);
}

type SettingsOverrides = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** Starts one router on loopback, waits until the table is in force, and stops it after the test. */
export async function createTestRouter(
  t: ExecutionContext,
  table: Table,
  overrides: SettingsOverrides = {},
): Promise<Router> {
  const platform = await createPlatform();
  t.teardown(() => platform.stop());
  const router = await createRouter(
    parseSettings({
      vm: { id: 'vm-1', zone: 'zone-a', region: 'region-1' },
      callers: { port: 0, ...overrides.callers },
      admin: { port: 0, operatorToken: TEST_OPERATOR_TOKEN, ...overrides.admin },
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
