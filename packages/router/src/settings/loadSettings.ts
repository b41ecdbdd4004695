import { readFile } from 'node:fs/promises';

import { checkShape } from '@filbertlatch/core';

import { RouterError, SettingsError } from '../errors/index.js';
import { settingsSchema, type Settings } from './settings.js';

/** Checks settings; throws SettingsError with every fault. */
export function parseSettings(value: unknown): Settings {
  const checked = checkShape(settingsSchema, value);
  if (!checked.ok) throw new SettingsError(checked.faults);
  return checked.value;
}

/** Reads and checks a settings file; throws RouterError when it cannot be used. */
export async function loadSettings(path: string): Promise<Settings> {
  let value: unknown;
  try {
    value = JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new RouterError('settings_unreadable', `${path}: ${reason}`, { cause });
  }
  return parseSettings(value);
}
