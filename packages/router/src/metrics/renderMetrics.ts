import { counterNames, listLanes, tableRevision, type Core } from '@filbertlatch/core';
import { Counter, Gauge, Registry } from 'prom-client';

/** Renders the state of one VM in the Prometheus text format. */
export async function renderMetrics(core: Core): Promise<string> {
  const registers = [new Registry()];
  for (const name of counterNames) {
    const help = `Number of ${name.replaceAll('_', ' ')} since start.`;
    const counter = new Counter({ name: `filbertlatch_${name}_total`, help, registers });
    counter.inc(core.counters.get(name) ?? 0);
  }
  const revision = new Gauge({
    name: 'filbertlatch_table_revision',
    help: 'Revision of the table in force; -1 before the first.',
    registers,
  });
  revision.set(tableRevision(core.table));
  const queue = new Gauge({
    name: 'filbertlatch_queue_requests',
    help: 'Requests that wait on this VM.',
    labelNames: ['class', 'pool'],
    registers,
  });
  listLanes(core.admission).forEach(({ classId, pool, waiting }) => {
    queue.set({ class: classId, pool }, waiting);
  });
  return registers[0]!.metrics();
}
