import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { checkTable } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { createFolder, createTable, writeJson } from './createTable.js';
import { runCli } from './runCli.js';

type Row = Record<string, unknown>;

function edit(sheet: string, index: number, fields: Row): ReturnType<typeof createTable> {
  const table = createTable();
  const rows = table[sheet] as Row[];
  rows[index] = { ...rows[index], ...fields };
  return { ...table, revision: 8 };
}

describe('check', () => {
  it('accepts a valid table', async (t) => {
    const { code, out } = await runCli('check', await writeJson(t, createTable()), '--json');
    t.is(code, 0);
    t.like(JSON.parse(out), { ok: true, kind: 'table' });
  });

  it('prints every fault with its path, expected value and value found', async (t) => {
    const table = edit('classes', 1, { tier: 'top', share: 2 });
    const path = await writeJson(t, table);
    const { code, err } = await runCli('check', path);
    t.is(code, 2);
    t.regex(err, /2 faults/);
    t.regex(err, /classes\[1\]\.tier: expected .*critical.*, found "top"/);
    t.regex(err, /classes\[1\]\.share: expected .*, found 2/);
    const { out } = await runCli('check', path, '--json');
    t.is((JSON.parse(out) as { faults: unknown[] }).faults.length, 2);
  });

  it('finds the faults of settings', async (t) => {
    const settings = { vm: { id: 'vm-1', zone: 'z', region: 'r' }, callers: { port: 70_000 } };
    const { code, err } = await runCli('check', await writeJson(t, settings));
    t.is(code, 2);
    t.regex(err, /callers\.port/);
    t.regex(err, /platform/);
  });
});

const edits: readonly (readonly [string, ReturnType<typeof createTable>, readonly RegExp[]])[] = [
  [
    'a weight for all classes of the tier',
    edit('classes', 2, { weight: 3 }),
    [
      /Gains\n {2}class summary: part of tier standard by weight goes from 25% to 50%/,
      /Loses\n {2}class bulletin: part of tier standard by weight goes from 75% to 50%/,
    ],
  ],
  [
    'a share',
    edit('classes', 0, { share: 0.1 }),
    [/Loses\n.*guaranteed share goes from 20% to 10%/],
  ],
  ['a tier', edit('classes', 2, { tier: 'critical' }), [/moves from tier standard to critical/]],
  [
    'a target',
    edit('classes', 1, { target: { firstTokenMs: 200, betweenTokensMs: 40, wholeMs: 2000 } }),
    [/target firstTokenMs is tightened from 300 to 200/],
  ],
  [
    'what may run more than once',
    edit('classes', 0, { repeatable: true }),
    [/may now run more than once/],
  ],
  [
    'a limit',
    edit('limits', 0, { tokensPerSecond: 400 }),
    [/Loses\n.*goes from 500 to 400 tokens\/s/],
  ],
  ['capacity', edit('endpoints', 0, { slots: 16 }), [/pool model:desk: slots go from 8 to 16/]],
  ['nothing', { ...createTable(), revision: 8 }, [/Nothing changes/]],
  ['the revision to a lower one', { ...createTable(), revision: 6 }, [/revision 6 is not above 7/]],
];

describe('diff', () => {
  edits.forEach(([title, after, lines]) => {
    it(`describes an edit of ${title}`, async (t) => {
      const paths = [await writeJson(t, createTable()), await writeJson(t, after)];
      const { code, out } = await runCli('diff', ...paths);
      t.is(code, 0);
      lines.forEach((line) => t.regex(out, line));
      const { out: json } = await runCli('diff', ...paths, '--json');
      t.like(JSON.parse(json), { from: 7, to: after.revision });
    });
  });
});

describe('table export and import', () => {
  it('give back the same table', async (t) => {
    const folder = await createFolder(t);
    const back = join(folder, 'back.json');
    t.is((await runCli('table', 'export', await writeJson(t, createTable()), folder)).code, 0);
    t.is((await runCli('table', 'import', folder, back)).code, 0);
    const read = checkTable(JSON.parse(await readFile(back, 'utf8')));
    t.deepEqual(read, checkTable(createTable()));
  });

  it('quote texts that a spreadsheet would evaluate as formulas', async (t) => {
    const folder = await createFolder(t);
    await runCli('table', 'export', await writeJson(t, createTable()), folder);
    const accounts = await readFile(join(folder, 'accounts.csv'), 'utf8');
    t.regex(accounts, /^'=cmd,/m);
    t.regex(accounts, /^id,keyDigest,homeRegion,defaultClass,classes,weight/);
  });

  it('accept an edit made in a spreadsheet, with a byte order mark and TRUE in capitals', async (t) => {
    const folder = await createFolder(t);
    await runCli('table', 'export', await writeJson(t, createTable()), folder);
    const path = join(folder, 'classes.csv');
    const edited = (await readFile(path, 'utf8')).replace('true', 'TRUE').replace('0.3', '0.25');
    await writeFile(path, `\uFEFF${edited}`);
    const back = join(folder, 'back.json');
    t.is((await runCli('table', 'import', folder, back)).code, 0);
    const { classes } = JSON.parse(await readFile(back, 'utf8')) as { classes: Row[] };
    t.is(classes[1]!.share, 0.25);
  });

  it('reject an invalid cell and an unknown column, and write nothing', async (t) => {
    const folder = await createFolder(t);
    await runCli('table', 'export', await writeJson(t, createTable()), folder);
    const path = join(folder, 'classes.csv');
    const good = await readFile(path, 'utf8');
    const back = join(folder, 'back.json');
    await writeFile(path, good.replace('0.3', 'much'));
    const cell = await runCli('table', 'import', folder, back);
    t.is(cell.code, 2);
    t.regex(cell.err, /classes\[1\]\.share.*found "much"/);
    await writeFile(path, good.replace('weight', 'wieght'));
    const column = await runCli('table', 'import', folder, back);
    t.is(column.code, 2);
    t.regex(column.err, /unknown column "wieght"; did you mean "weight"\?/);
    await t.throwsAsync(readFile(back));
  });
});

describe('report', () => {
  it('draws bars and escapes the names of figures', async (t) => {
    const figures = { 'a<b.attainment': 0.5, 'a<b.first.p95Ms': 12, waste: 0.1 };
    const { code, out } = await runCli(
      'report',
      await writeJson(t, { experiment: 'x', seed: 3, figures }),
    );
    t.is(code, 0);
    t.regex(out, /<svg/);
    t.regex(out, /50\.0%/);
    t.regex(out, /a&lt;b/);
    t.notRegex(out, /a<b/);
  });

  it('names the line that is not a result', async (t) => {
    const { code, err } = await runCli('report', await writeJson(t, { experiment: 'x' }));
    t.is(code, 2);
    t.regex(err, /:1: seed: expected/);
  });
});
