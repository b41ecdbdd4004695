import { createRouter, loadSettings, RouterError, type Router } from '@filbertlatch/router';

const EXIT_OK = 0;
/** Exit code when the settings are invalid or the router cannot start with them. */
const EXIT_START_FAILED = 2;

/** Waits for SIGTERM or SIGINT; SIGHUP reloads credentials, SIGUSR2 writes the state to standard error. */
async function waitForStopSignal(router: Router): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
    process.on('SIGHUP', () => {
      void router.reloadCredentials();
    });
    process.on('SIGUSR2', () => process.stderr.write(`${JSON.stringify(router.state())}\n`));
  });
}

/**
 * Runs a router from a settings file until SIGTERM or SIGINT, then drains it; resolves with the exit
 * code. Prints one line of JSON with its URLs when it listens.
 */
export async function runDaemon(settingsPath: string): Promise<number> {
  try {
    const router = await createRouter(await loadSettings(settingsPath));
    const { callerUrl, adminUrl, peerUrl } = router;
    process.stdout.write(`${JSON.stringify({ ready: true, callerUrl, adminUrl, peerUrl })}\n`);
    await waitForStopSignal(router);
    await router.drain();
    return EXIT_OK;
  } catch (error) {
    if (!(error instanceof RouterError)) throw error;
    process.stderr.write(`filbertlatchd: ${error.code}\n${error.message}\n`);
    return EXIT_START_FAILED;
  }
}
