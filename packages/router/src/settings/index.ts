export { loadSettings, parseSettings } from './loadSettings.js';
export { settingsSchema, type Settings, type SettingsInput } from './settings.js';
