import { createRouter, loadSettings, RouterError, type Router } from '@filbertlatch/router';

const EXIT_OK = 0;
const EXIT_BAD_SETTINGS = 2;

async function waitForStop(router: Router): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
    process.on('SIGHUP', () => {
      void router.reloadCredentials();
    });
    process.on('SIGUSR2', () => process.stderr.write(`${JSON.stringify(router.state())}\n`));
  });
}

/** Runs a router from a settings file until a signal; resolves with the exit code. */
export async function runDaemon(settingsPath: string): Promise<number> {
  try {
    const router = await createRouter(await loadSettings(settingsPath));
    const { callerUrl, adminUrl, peerUrl } = router;
    process.stdout.write(`${JSON.stringify({ ready: true, callerUrl, adminUrl, peerUrl })}\n`);
    await waitForStop(router);
    await router.drain();
    return EXIT_OK;
  } catch (error) {
    if (!(error instanceof RouterError)) throw error;
    process.stderr.write(`filbertlatchd: ${error.code}\n${error.message}\n`);
    return EXIT_BAD_SETTINGS;
  }
}
