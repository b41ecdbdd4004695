import { readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';
import type * as z from 'zod';

import { RouterError, SettingsError } from '../errors/index.js';

/** Checks settings against their schema; throws SettingsError with every fault. */
export function checkSettings<T extends z.ZodType>(schema: T, value: unknown): z.output<T> {
  const checked = checkShape(schema, value);
  if (!checked.ok) throw new SettingsError(checked.faults);
  return checked.value;
}

/** Reads a settings file as JSON; throws RouterError when it cannot be read. */
export async function readSettings(path: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new RouterError('settings_unreadable', `${path}: ${reason}`, { cause });
  }
}
