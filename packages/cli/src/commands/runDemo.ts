import {
  createFleet,
  formatSummary,
  generateLoad,
  apiKeyOf,
  loadScenario,
  OPERATOR_TOKEN,
  summarize,
  type Fleet,
} from '@filbertlatch/bench';
import { randomInteger } from '@filbertlatch/core';

const PROGRESS_INTERVAL_MS = 1000;

function writeLine(text: string): void {
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
    `  curl -N ${router.callerUrl}/v1/chat/completions -H 'authorization: Bearer ${apiKeyOf('station-port-louis')}' -H 'content-type: application/json' -d '${body}'`,
    `  the status page at ${router.adminUrl}/ with the token ${OPERATOR_TOKEN}`,
    `  curl ${router.adminUrl}/admin/state -H 'authorization: Bearer ${OPERATOR_TOKEN}'`,
  ].join('\n');
}

async function waitForSignal(): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

/** Runs three routers and stand-in endpoints in this process under a mixed load, and prints a summary. */
export async function runDemo(options: { once: boolean; seed: number }): Promise<void> {
  const scenario = await loadScenario('demo');
  const fleet = await createFleet(scenario, options.seed);
  const urls = fleet.routers.map((router) => router.callerUrl);
  let answered = 0;
  let whole = 0;
  writeLine(
    `${urls.length} routers are up; ${scenario.seconds} s of newsroom and dealer load follow.`,
  );
  const progress = setInterval(
    () => writeLine(`  ${answered} answered, ${whole} whole`),
    PROGRESS_INTERVAL_MS,
  );
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
  writeLine(formatSummary(summarize(fleet.table, fleet, samples)));
  if (!options.once) {
    writeLine(describeAddresses(fleet));
    await waitForSignal();
  }
  await fleet.stop();
}
