import { stat } from 'node:fs/promises';

import { RouterError } from '@filbertlatch/router/errors';
import {
  createGateway,
  loadGatewaySettings,
  type Dialect,
  type Gateway,
  type GatewaySettings,
  type PublicationSource,
} from '@filbertlatch/router/gateway';

const EXIT_OK = 0;
/** Exit code when the settings are invalid or the gateway cannot start with them. */
const EXIT_START_FAILED = 2;

/** Interval of checks whether the settings file was modified, since that may happen without a SIGHUP. */
const SETTINGS_CHECK_INTERVAL_MS = 2000;

/** Prints a RouterError to standard error; throws any other error. */
function reportRouterError(error: unknown): void {
  if (!(error instanceof RouterError)) throw error;
  process.stderr.write(`filbertlatchd: ${error.code}\n${error.message}\n`);
}

/** Reads and applies the settings again; invalid ones are reported and those in force stay. */
async function reloadSettings(gateway: Gateway, path: string): Promise<void> {
  try {
    gateway.applySettings(await loadGatewaySettings(path));
  } catch (error) {
    reportRouterError(error);
  }
}

/** Reloads the settings when the modification time of their file changes. */
function watchSettings(gateway: Gateway, path: string): NodeJS.Timeout {
  let lastModifiedMs: number | null = null;
  const reloadIfChanged = async () => {
    const { mtimeMs } = await stat(path);
    if (lastModifiedMs !== null && mtimeMs !== lastModifiedMs) await reloadSettings(gateway, path);
    lastModifiedMs = mtimeMs;
  };
  return setInterval(() => {
    reloadIfChanged().catch((error: Error) => {
      process.stderr.write(`filbertlatchd: ${path}: ${error.message}\n`);
    });
  }, SETTINGS_CHECK_INTERVAL_MS);
}

/** Waits for SIGTERM or SIGINT; SIGHUP reloads settings, SIGUSR2 writes the state to standard output. */
async function waitForStopSignal(gateway: Gateway, path: string): Promise<void> {
  const timer = watchSettings(gateway, path);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
    process.on('SIGHUP', () => {
      void reloadSettings(gateway, path);
    });
    process.on('SIGUSR2', () => process.stdout.write(`${JSON.stringify(gateway.state())}\n`));
  });
  clearInterval(timer);
}

/** Runs a gateway from a settings file until SIGTERM or SIGINT, then drains it; resolves with the exit code. */
export async function runGateway(
  settingsPath: string,
  createSource: (settings: GatewaySettings) => PublicationSource,
  dialect: Dialect,
): Promise<number> {
  try {
    const settings = await loadGatewaySettings(settingsPath);
    const gateway = await createGateway(settings, createSource(settings), dialect);
    await waitForStopSignal(gateway, settingsPath);
    await gateway.drain();
    return EXIT_OK;
  } catch (error) {
    reportRouterError(error);
    return EXIT_START_FAILED;
  }
}
