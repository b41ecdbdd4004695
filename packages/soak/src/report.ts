import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { Evidence, Run } from './evidence.js';
import { countExcused, findBrokenRules, type Finding } from './findings.js';
import type { Options } from './options.js';
import { drawSchedule, formatAction, type ScheduledAction } from './schedule.js';

/** A finding, and what the VMs' logs and the endpoints say about its request or process. */
export interface TracedFinding extends Finding {
  readonly lines: readonly string[];
}

/** What was played with one seed, and what was seen. */
export interface SeedReport {
  readonly seed: number;
  readonly startedAt: string;
  readonly schedule: readonly ScheduledAction[];
  /** Requests by kind and outcome. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Requests without a whole answer that the rules exclude, by reason. */
  readonly excused: Readonly<Record<string, number>>;
  /** Most megabytes that a process of each VM has held. */
  readonly memory: Readonly<Record<string, number>>;
  readonly findings: readonly TracedFinding[];
}

/** Changes of state that are shown beside a finding. */
const CONTEXT = /"message":"(service_lost|service_regained|started|drain_began|stopped)"/;
const CONTEXT_MS = 3000;

/** Time for which what the soak did is shown beside a finding. */
const PLAYED_MS = 5000;

interface LogLine {
  readonly vm: string;
  readonly text: string;
  readonly at: number;
}

async function readLogs(directory: string): Promise<readonly LogLine[]> {
  const names = (await readdir(directory)).filter((name) => name.endsWith('.log'));
  const logs = await Promise.all(
    names.sort().map(async (name) => {
      const lines = (await readFile(join(directory, name), 'utf8')).split('\n');
      return lines.map((text) => {
        const time = /"timestamp":"([^"]+)"/.exec(text)?.[1];
        return { vm: name.replace('.log', ''), text, at: Date.parse(time ?? '') };
      });
    }),
  );
  return logs.flat();
}

function describeRun({ endpoint, at, endedAt, events }: Run): LogLine {
  const end = endedAt === null ? 'no end' : new Date(endedAt).toISOString();
  const sent = events === null ? '' : `, sent events ${events.first} to ${events.last}`;
  return { vm: endpoint, at, text: `ran from ${new Date(at).toISOString()} to ${end}${sent}` };
}

function selectLines(
  { vm, at, id }: Finding,
  logs: readonly LogLine[],
  { runs, harms, played }: Evidence,
): string[] {
  const harmLines = harms
    .filter(({ from, to }) => from <= at && at - to < CONTEXT_MS)
    .map(({ from, text }) => ({
      vm: 'links',
      at: from,
      text: `${new Date(from).toISOString()} ${text}`,
    }));
  const playedLines = played
    .filter((one) => one.at <= at && at - one.at < PLAYED_MS)
    .map((one) => ({
      vm: 'soak',
      at: one.at,
      text: `${new Date(one.at).toISOString()} ${one.text}`,
    }));
  return logs
    .filter(
      (line) =>
        (id !== null && line.text.includes(id)) ||
        (line.vm === vm && CONTEXT.test(line.text) && Math.abs(at - line.at) < CONTEXT_MS),
    )
    .concat(runs.filter((run) => run.id === id).map(describeRun), harmLines, playedLines)
    .sort((a, b) => a.at - b.at)
    .map((line) => `${line.vm}: ${line.text}`);
}

function countOutcomes({ requests }: Evidence): Record<string, number> {
  const outcomes: Record<string, number> = {};
  requests.forEach(({ kind, status, answer, stress }) => {
    const name = `${stress === undefined ? '' : `${stress}, `}${kind} ${status ?? 'unanswered'}${answer === 'cut' || answer === 'left' ? ` ${answer}` : ''}`;
    outcomes[name] = (outcomes[name] ?? 0) + 1;
  });
  return Object.fromEntries(Object.entries(outcomes).sort(([a], [b]) => a.localeCompare(b)));
}

/** Checks the evidence of one seed and collects what the logs say about each finding. */
export async function createReport(
  options: Options,
  seed: number,
  evidence: Evidence,
  logDirectory: string,
): Promise<SeedReport> {
  const findings = findBrokenRules(evidence);
  const logs = findings.length === 0 ? [] : await readLogs(logDirectory);
  return {
    seed,
    startedAt: new Date(evidence.startedAt).toISOString(),
    schedule: drawSchedule(seed, options),
    outcomes: countOutcomes(evidence),
    excused: countExcused(evidence),
    memory: Object.fromEntries(
      Object.entries(evidence.memory.peaks).map(([vm, bytes]) => [vm, Math.round(bytes / 1e6)]),
    ),
    findings: findings.map((finding) => ({
      ...finding,
      lines: selectLines(finding, logs, evidence),
    })),
  };
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  const texts = Object.entries(counts).map(([name, count]) => `${name}: ${count}`);
  return `  ${texts.join(', ') || 'none'}`;
}

/** Formats a report as a page of text. */
export function formatReport(report: SeedReport): string {
  const { seed, startedAt, schedule, outcomes, excused, memory, findings } = report;
  const formatScheduled = (action: ScheduledAction) =>
    `  ${(action.atMs / 1000).toFixed(3).padStart(7)} s  ${formatAction(action)}`;
  const formatFinding = ({ rule, vm, at, id, text, lines }: TracedFinding) => [
    `  ${rule} +${((at - Date.parse(startedAt)) / 1000).toFixed(3)} s ${vm}${id === null ? '' : ` request ${id}`}: ${text}`,
    ...lines.map((line) => `    ${line}`),
  ];
  return [
    `seed ${seed}, from ${startedAt}`,
    'played',
    ...schedule.map(formatScheduled),
    'requests',
    formatCounts(outcomes),
    'without a whole answer, not counted',
    formatCounts(excused),
    'most memory of a VM, in MB',
    formatCounts(memory),
    `findings: ${findings.length}`,
    ...findings.flatMap(formatFinding),
    '',
  ].join('\n');
}
