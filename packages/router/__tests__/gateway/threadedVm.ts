import { call, createSource, startGateway, testConfiguration, waitUntil } from './fixtures.js';
import type { TestGateway } from './fixtures.js';
import {
  startThreadedEndpoint,
  type ThreadedBehaviour,
  type ThreadedEndpoint,
} from './threadedEndpoint.js';

/** Reads a metric of a VM; `text` is in its line. Zero when it has none. */
export async function readMetric({ control }: TestGateway, text: string): Promise<number> {
  const { body } = await call(control, '/metrics');
  const line = body.split('\n').find((each) => each.includes(text) && !each.startsWith('#'));
  return Number(line?.split(' ').at(-1) ?? 0);
}

/** Runs a VM in this thread with endpoints in threads of their own. */
export async function withThreadedEndpoints(
  behaviours: readonly Partial<ThreadedBehaviour>[],
  use: (vm: TestGateway, endpoints: readonly ThreadedEndpoint[]) => Promise<void>,
): Promise<void> {
  const endpoints = await Promise.all(
    behaviours.map(async (behaviour, index) => startThreadedEndpoint(`e${index}`, behaviour)),
  );
  const listed = endpoints.map(({ endpoint }) => endpoint);
  const vm = await startGateway(createSource(testConfiguration, listed));
  try {
    await waitUntil(async () => (await call(vm.ready, '/')).status === 200);
    await use(vm, endpoints);
  } finally {
    vm.gateway.stop();
    await Promise.all(endpoints.map(async (endpoint) => endpoint.close()));
  }
}
