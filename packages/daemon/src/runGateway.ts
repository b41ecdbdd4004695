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
const EXIT_BAD_SETTINGS = 2;

/** How often the settings file is looked at: it may change without a signal. */
const SETTINGS_CHECK_MS = 2000;

function tell(error: unknown): void {
  if (!(error instanceof RouterError)) throw error;
  process.stderr.write(`filbertlatchd: ${error.code}\n${error.message}\n`);
}

/** Reads settings again; settings that cannot be used leave those in force. */
async function reload(gateway: Gateway, path: string): Promise<void> {
  try {
    gateway.applySettings(await loadGatewaySettings(path));
  } catch (error) {
    tell(error);
  }
}

function watchSettings(gateway: Gateway, path: string): NodeJS.Timeout {
  let changedAt: number | null = null;
  const look = async () => {
    const { mtimeMs } = await stat(path);
    if (changedAt !== null && mtimeMs !== changedAt) await reload(gateway, path);
    changedAt = mtimeMs;
  };
  return setInterval(() => {
    look().catch((error: Error) => {
      process.stderr.write(`filbertlatchd: ${path}: ${error.message}\n`);
    });
  }, SETTINGS_CHECK_MS);
}

async function waitForStop(gateway: Gateway, path: string): Promise<void> {
  const timer = watchSettings(gateway, path);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
    process.on('SIGHUP', () => {
      void reload(gateway, path);
    });
    process.on('SIGUSR2', () => process.stdout.write(`${JSON.stringify(gateway.state())}\n`));
  });
  clearInterval(timer);
}

/** Runs a gateway from a settings file until a signal; resolves with the exit code. */
export async function runGateway(
  settingsPath: string,
  createSource: (settings: GatewaySettings) => PublicationSource,
  dialect: Dialect,
): Promise<number> {
  try {
    const settings = await loadGatewaySettings(settingsPath);
    const gateway = await createGateway(settings, createSource(settings), dialect);
    await waitForStop(gateway, settingsPath);
    await gateway.drain();
    return EXIT_OK;
  } catch (error) {
    tell(error);
    return EXIT_BAD_SETTINGS;
  }
}
