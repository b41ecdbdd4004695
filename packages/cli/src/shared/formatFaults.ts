import type { Fault } from '@filbertlatch/core';

/** Formats every fault of a file: path, expectation and what was found. */
export function formatFaults(file: string, faults: readonly Fault[], isJson: boolean): string {
  if (isJson) return JSON.stringify({ file, ok: false, faults });
  const lines = faults.map((f) => `  ${f.path}: expected ${f.expected}, found ${f.found}`);
  return [`${file}: ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`, ...lines].join(
    '\n',
  );
}
