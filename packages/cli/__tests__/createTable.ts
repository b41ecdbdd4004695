import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { Table } from '@filbertlatch/core';
import type { ExecutionContext } from 'ava';

const target = { firstTokenMs: 300, betweenTokensMs: 40, wholeMs: 2000 };
const place = { zone: 'zone-a', region: 'region-1' };

/** Creates a valid table as an operator would write it, without optional defaults. */
export function createTable(): Record<string, unknown> & Pick<Table, 'revision'> {
  return {
    revision: 7,
    classes: [
      { id: 'headline', tier: 'critical', share: 0.2, target, repeatable: false },
      { id: 'bulletin', tier: 'standard', share: 0.3, weight: 3, target, tokensPerSecond: 900 },
      { id: 'summary', tier: 'standard', share: 0.1, weight: 1, target, preemptible: true },
    ],
    accounts: [
      {
        id: 'station-1',
        keyDigest: 'a'.repeat(64),
        homeRegion: 'region-1',
        defaultClass: 'bulletin',
        classes: ['bulletin', 'headline'],
      },
      {
        id: '=cmd',
        keyDigest: 'b'.repeat(64),
        homeRegion: 'region-1',
        defaultClass: 'summary',
        classes: [],
      },
    ],
    models: [{ id: 'desk', adapters: ['kreol', 'french'] }],
    endpoints: [
      {
        id: 'e-1',
        kind: 'engine',
        url: 'http://127.0.0.1:1',
        ...place,
        slots: 8,
        models: ['desk'],
        fencing: 'checked',
      },
      {
        id: 's-1',
        kind: 'service',
        url: 'http://127.0.0.1:2',
        ...place,
        slots: 4,
        service: 'stock',
      },
    ],
    limits: [{ id: 'summaries', class: 'summary', tokensPerSecond: 500 }],
  };
}

/** Creates a temporary folder that is removed after the test. */
export async function createFolder(t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'filbertlatch-'));
  t.teardown(() => rm(folder, { recursive: true }));
  return folder;
}

/** Writes a value as JSON into a new folder and returns the file's path. */
export async function writeJson(t: ExecutionContext, value: unknown): Promise<string> {
  const path = join(await createFolder(t), 'file.json');
  await writeFile(path, JSON.stringify(value));
  return path;
}
