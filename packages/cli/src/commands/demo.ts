import {
  createFleet,
  formatSummary,
  generateLoad,
  keyOf,
  loadScenario,
  OPERATOR_TOKEN,
  summarize,
  type Fleet,
} from '@filbertlatch/bench';
import { randomInteger } from '@filbertlatch/core';

const PROGRESS_MS = 1000;

function write(text: string): void {
  process.stdout.write(`${text}\n`);
}

function describeAddresses(fleet: Fleet): string {
  const routers = fleet.routers.map(
    (router, index) => `  vm-${index}  callers ${router.callerUrl}  admin ${router.adminUrl}`,
  );
  const router = fleet.routers[0]!;
  const body = JSON.stringify({
    model: 'desk',
    stream: true,
    messages: [{ role: 'user', content: 'A headline, please.' }],
  });
  return [
    'The routers stay up until Ctrl-C:',
    ...routers,
    'Try one:',
    `  curl -N ${router.callerUrl}/v1/chat/completions -H 'authorization: Bearer ${keyOf('station-port-louis')}' -H 'content-type: application/json' -d '${body}'`,
    `  the page at ${router.adminUrl}/ with the token ${OPERATOR_TOKEN}`,
    `  curl ${router.adminUrl}/admin/state -H 'authorization: Bearer ${OPERATOR_TOKEN}'`,
  ].join('\n');
}

async function waitForSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

/** Runs three routers with stand-ins in this process under a mixed load, and reports. */
export async function runDemo(options: { once: boolean; seed: number }): Promise<void> {
  const scenario = await loadScenario('demo');
  const fleet = await createFleet(scenario, options.seed);
  const urls = fleet.routers.map((router) => router.callerUrl);
  let answered = 0;
  let whole = 0;
  write(`${urls.length} routers are up; ${scenario.seconds} s of newsroom and dealer load follow.`);
  const progress = setInterval(() => write(`  ${answered} answered, ${whole} whole`), PROGRESS_MS);
  const samples = await generateLoad(
    scenario,
    (random) => urls[randomInteger(random, urls.length)]!,
    options.seed,
    (sample) => {
      answered += 1;
      if (sample.whole) whole += 1;
    },
  );
  clearInterval(progress);
  write(formatSummary(summarize(fleet.table, fleet, samples)));
  if (!options.once) {
    write(describeAddresses(fleet));
    await waitForSignal();
  }
  await fleet.stop();
}
