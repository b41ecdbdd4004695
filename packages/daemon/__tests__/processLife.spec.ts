import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';

import { describe, it } from '@filbertlatch/core/testing';

const MODULE_URL = new URL('../src/processLife.js', import.meta.url).href;

const FAILURES = {
  uncaughtException: 'setImmediate(() => { throw new Error("of the test"); });',
  unhandledRejection: 'Promise.reject(new Error("of the test")); setInterval(() => {}, 1000);',
};

describe('a process that an error ends', () => {
  Object.entries(FAILURES).forEach(([origin, statement]) => {
    it(`has it in its log, with the stack in one line, and ends with 1: ${origin}`, async (t) => {
      const program = `
        import { ProcessLife } from '${MODULE_URL}';
        new ProcessLife();
        ${statement}`;
      const child = spawn(process.execPath, ['--input-type=module', '--eval', program]);
      const [errors, [code]] = await Promise.all([text(child.stderr), once(child, 'exit')]);
      t.is(code, 1);
      const { message, error, ...fields } = JSON.parse(errors) as Record<string, string>;
      t.is(message, 'process_failed');
      t.regex(error!, /^Error: of the test\n +at /);
      t.is(fields.origin, origin);
    });
  });
});
