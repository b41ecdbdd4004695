import { createRouter, loadSettings, type Router } from '@filbertlatch/router';
import { standardError, standardOutput } from '@filbertlatch/router/output';

import { ProcessLife } from './processLife.js';
import { readStartSettings } from './readStartSettings.js';
import { reportError } from './reportError.js';
import { SettingsReload } from './settingsReload.js';

/** Serves until SIGTERM or SIGINT; SIGHUP reloads credentials, SIGUSR2 writes the state to standard error. */
async function serve(life: ProcessLife, router: Router): Promise<void> {
  const reload = new SettingsReload(async () => {
    await router.reloadCredentials().catch(reportError);
  });
  await life.serve({
    reload: () => reload.ask(),
    dump: () => standardError.write(JSON.stringify(router.state())),
  });
}

/**
 * Runs a router from a settings file until SIGTERM or SIGINT, then drains it; resolves with the exit
 * code. Prints one line of JSON with its URLs when it listens.
 */
export async function runDaemon(settingsPath: string, life = new ProcessLife()): Promise<number> {
  const router = await life.start(async () => {
    const settings = await readStartSettings(() => loadSettings(settingsPath), life.stopSignal);
    return life.isStopping ? null : createRouter(settings, life.stopSignal);
  });
  if (router !== null) {
    const { callerUrl, adminUrl, peerUrl } = router;
    const ready = JSON.stringify({ ready: true, callerUrl, adminUrl, peerUrl });
    if (!life.isStopping) standardOutput.write(ready);
    await serve(life, router);
    await router.drain();
  }
  return life.end();
}
