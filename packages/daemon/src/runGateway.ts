import { stat } from 'node:fs/promises';

import {
  createGateway,
  loadGatewaySettings,
  type Dialect,
  type Gateway,
  type GatewaySettings,
  type PublicationSource,
} from '@filbertlatch/router/gateway';
import { standardError, standardOutput } from '@filbertlatch/router/output';

import { ProcessLife } from './processLife.js';
import { readStartSettings } from './readStartSettings.js';
import { reportError } from './reportError.js';
import { SettingsReload } from './settingsReload.js';

/** Interval of checks whether the settings file was modified, since that may happen without a SIGHUP. */
const SETTINGS_CHECK_INTERVAL_MS = 2000;

/** Reads and applies the settings again; those in force stay when that fails. */
async function reloadSettings(gateway: Gateway, path: string): Promise<void> {
  try {
    gateway.applySettings(await loadGatewaySettings(path));
  } catch (error) {
    reportError(error);
  }
}

/** Reloads the settings when the modification time of their file changes. */
function watchSettings(reload: SettingsReload, path: string): NodeJS.Timeout {
  let lastModifiedMs: number | null = null;
  const reloadIfChanged = async () => {
    const { mtimeMs } = await stat(path);
    if (lastModifiedMs !== null && mtimeMs !== lastModifiedMs) reload.ask();
    lastModifiedMs = mtimeMs;
  };
  return setInterval(() => {
    reloadIfChanged().catch((error: Error) => {
      standardError.write(`filbertlatchd: ${path}: ${error.message}`);
    });
  }, SETTINGS_CHECK_INTERVAL_MS);
}

/** Serves until SIGTERM or SIGINT; SIGHUP reloads settings, SIGUSR2 writes the state to standard output. */
async function serve(life: ProcessLife, gateway: Gateway, path: string): Promise<void> {
  const reload = new SettingsReload(() => reloadSettings(gateway, path));
  const timer = watchSettings(reload, path);
  await life.serve({
    reload: () => reload.ask(),
    dump: () => standardOutput.write(JSON.stringify(gateway.state())),
  });
  clearInterval(timer);
}

/** Runs a gateway from a settings file until SIGTERM or SIGINT, then drains it; resolves with the exit code. */
export async function runGateway(
  settingsPath: string,
  createSource: (settings: GatewaySettings) => PublicationSource,
  dialect: Dialect,
): Promise<number> {
  const life = new ProcessLife(standardOutput);
  const gateway = await life.start(async () => {
    const settings = await readStartSettings(
      () => loadGatewaySettings(settingsPath),
      life.stopSignal,
    );
    if (life.isStopping) return null;
    return createGateway(settings, createSource(settings), dialect, life.stopSignal);
  });
  if (gateway !== null) {
    await serve(life, gateway, settingsPath);
    await gateway.drain(life.stoppingMs);
  }
  return life.end();
}
