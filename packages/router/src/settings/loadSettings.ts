import { checkSettings, readSettings } from './readSettings.js';
import { settingsSchema, type Settings } from './settings.js';

/** Checks settings; throws SettingsError with every fault. */
export function parseSettings(value: unknown): Settings {
  return checkSettings(settingsSchema, value);
}

/** Reads and checks a settings file; throws RouterError when unreadable or invalid. */
export async function loadSettings(path: string): Promise<Settings> {
  return parseSettings(await readSettings(path));
}
