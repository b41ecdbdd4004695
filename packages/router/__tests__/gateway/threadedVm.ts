import { call, createSource, startGateway, testConfiguration, waitUntil } from './fixtures.js';
import type { TestGateway } from './fixtures.js';
import {
  startThreadedEndpoint,
  type ThreadedBehaviour,
  type ThreadedEndpoint,
} from './threadedEndpoint.js';

/** Adds up the lines of a VM's metrics that contain a text. */
export async function readMetric(
  { control }: Pick<TestGateway, 'control'>,
  text: string,
): Promise<number> {
  const { body } = await call(control, '/metrics');
  const lines = body.split('\n').filter((line) => line.includes(text) && !line.startsWith('#'));
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
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
