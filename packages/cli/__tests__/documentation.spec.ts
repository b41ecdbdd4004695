import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

import { checkTable } from '@filbertlatch/core';
import { describe, it } from '@filbertlatch/core/testing';

import { formatConfiguration } from '../src/documentation/index.js';
import { runCli } from './runCli.js';

const ROOT = new URL('../../../../', import.meta.url);

describe('the documentation', () => {
  it('has a CONFIGURATION.md equal to what npm run -s docs:configuration writes', async (t) => {
    const page = await readFile(new URL('docs/CONFIGURATION.md', ROOT), 'utf8');
    t.is(page, formatConfiguration());
  });

  it('describes each field of the settings and the table', (t) => {
    const rows = formatConfiguration().match(/^\| `.*$/gm) ?? [];
    t.true(rows.length > 50);
    rows.forEach((row) => t.notRegex(row, /\|\s*\|$/));
  });

  it('has a JSON table in README.md that passes the check', async (t) => {
    const page = await readFile(new URL('README.md', ROOT), 'utf8');
    const block = page.match(/```json\n(.*?)```/s)![1]!;
    t.true(checkTable(JSON.parse(block)).ok);
  });

  for (const name of ['newsroom', 'dealer']) {
    for (const file of ['table', 'settings']) {
      it(`has an example ${name}/${file}.json that passes the check`, async (t) => {
        const path = fileURLToPath(new URL(`examples/${name}/${file}.json`, ROOT));
        const { code, out, err } = await runCli('check', path);
        t.is(code, 0, err);
        t.regex(out, new RegExp(`good ${file}`));
      });
    }
  }
});
