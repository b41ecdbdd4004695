import { OrderTask } from '../src/orders/index.js';
import { PeerClient } from '../src/peers/peerClient.js';
import { PlatformClient } from '../src/platform/platformClient.js';
import { ReportClient } from '../src/reports/reportClient.js';
import { playMeasured } from '../src/testing/index.js';

const traffic = { add: () => {} } as never;

/** Reads from a server at a URL that answers without end; the outcome says what came of it. */
const readers: Readonly<Record<string, (url: string) => Promise<unknown>>> = {
  platform: (url) =>
    new PlatformClient(
      { configurationUrl: url, listUrl: url, watchSeconds: 1, callsPerSecond: 100 },
      traffic,
      () => 1,
    ).readSheet('sheet'),
  peer: (url) =>
    new PeerClient((() => ({ peerTls: null, peerKeys: [] })) as never, traffic).call(
      { id: 'vm-2', peerUrl: url } as never,
      { method: 'sheet' } as never,
    ),
  report: (url) => new ReportClient().readLoad({ id: 'e0', url } as never),
  probe: (url) => new ReportClient().probe({ kind: 'engine', url } as never),
  order: (url) =>
    new Promise((resolve) => {
      const task = new OrderTask({ post: resolve } as never);
      void task.issue({ endpoint: { id: 'e0', url }, order: {} } as never);
    }),
};

void playMeasured(async (reader, address) => {
  const startedAt = performance.now();
  const outcome = await readers[reader]!(`http://${address}`).catch(String);
  return { outcome, tookMs: performance.now() - startedAt };
});
