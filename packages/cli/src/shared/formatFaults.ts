import type { Fault } from '@filbertlatch/core';

/** Formats all faults of a file, as text or JSON: path, expected value and value found. */
export function formatFaults(file: string, faults: readonly Fault[], isJson: boolean): string {
  if (isJson) return JSON.stringify({ file, ok: false, faults });
  const lines = faults.map((f) => `  ${f.path}: expected ${f.expected}, found ${f.found}`);
  return [`${file}: ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`, ...lines].join(
    '\n',
  );
}
