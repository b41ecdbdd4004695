import test, { type ImplementationFn } from 'ava';

const titles: string[] = [];

/** Groups tests under a title; AVA has no nested groups, so a test's titles are joined. */
export function describe(title: string, body: () => void): void {
  titles.push(title);
  body();
  titles.pop();
}

function joinTitles(title: string): string {
  return [...titles, title].join(' > ');
}

/** Declares a test in the enclosing groups. */
export function it(title: string, implementation: ImplementationFn<[]>): void {
  test(joinTitles(title), implementation);
}

/** Declares a test that runs serially in its file, for tests that replace the clock. */
export function itSerial(title: string, implementation: ImplementationFn<[]>): void {
  test.serial(joinTitles(title), implementation);
}

/** Declares a test of a known fault, which must fail; listed in KNOWN-RED.txt. */
export function itFails(title: string, implementation: ImplementationFn<[]>): void {
  test.failing(joinTitles(title), implementation);
}

/**
 * Declares a test that fails now and then and is listed in KNOWN-RED.txt: it is passed over, and
 * reported so, unless the environment has `KNOWN_RED=1`.
 */
export function itKnownRed(title: string, implementation: ImplementationFn<[]>): void {
  const define = process.env.KNOWN_RED === '1' ? test.serial : test.serial.skip;
  define(joinTitles(title), implementation);
}
