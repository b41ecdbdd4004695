import { describe, it } from '@filbertlatch/core/testing';

import { OptionError, parseOptions } from '../src/options.js';
import { drawSchedule, troubleKinds } from '../src/schedule.js';

const parse = (...argv: string[]) => parseOptions(import.meta, argv);

describe('parseOptions', () => {
  it('reads a range of seeds and a list of kinds', (t) => {
    const options = parse('--seed', '3..5', '--trouble', 'silence,signals', '--vms', '8');
    t.deepEqual(options.seeds, [3, 4, 5]);
    t.deepEqual(options.trouble, ['silence', 'stop', 'twice', 'hangup', 'start']);
    t.is(options.vms, 8);
  });

  it('plays what has failed once alone, or before the seeds that are given', (t) => {
    t.deepEqual(parse().seeds, [1]);
    t.deepEqual(parse('--failed').seeds, []);
    t.deepEqual(parse('--failed', '--seed', '7').seeds, [7]);
  });

  [
    ['--trouble', 'noise'],
    ['--trouble', ''],
    ['--trouble', 'links', '--harms', 'noise'],
    ['--trouble', 'stop', '--harms', 'cut'],
    ['--seed', '5..3'],
    ['--seed', 'x'],
    ['--vms', '0'],
    ['--vms', 'many'],
    ['--vms', '500'],
    ['--seconds', '1'],
    ['--memory', '0'],
    ['--minutes', '1'],
    ['run'],
  ].forEach((argv) => {
    it(`rejects ${argv.join(' ')}`, (t) => {
      t.throws(() => parse(...argv), { instanceOf: OptionError });
    });
  });
});

describe('drawSchedule', () => {
  const size = { vms: 3, seconds: 60 };

  it('gives the same times for the same seed, and others for another', (t) => {
    const options = { ...size, trouble: troubleKinds };
    t.deepEqual(drawSchedule(7, options), drawSchedule(7, options));
    t.notDeepEqual(drawSchedule(7, options), drawSchedule(8, options));
  });

  it('plays only the kinds that are asked for', (t) => {
    const kinds = drawSchedule(7, { ...size, trouble: ['stop'] }).map(({ kind }) => kind);
    t.true(kinds.length > 5);
    t.deepEqual([...new Set(kinds)], ['signal']);
    t.deepEqual(drawSchedule(7, { ...size, trouble: ['unframed'] }), []);
  });

  it('harms all or one of the links of a VM for 0.5 to 2 s, in the ways that are asked for', (t) => {
    const harms = drawSchedule(7, { ...size, trouble: ['links'], harms: ['cut', 'delay'] });
    const ways = harms.map((action) => (action.kind === 'harm' ? action.harm.way : action.kind));
    t.deepEqual([...new Set(ways)].sort(), ['cut', 'delay']);
    t.true(
      harms.every(
        (action) => action.kind === 'harm' && action.forMs >= 500 && action.forMs <= 2000,
      ),
    );
  });
});
