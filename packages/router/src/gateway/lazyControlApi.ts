import type { RequestListener } from 'node:http';

import type { ControlSource } from './controlApi.js';

type ApiLoader = () => Promise<RequestListener>;

/**
 * Creates the listener of the control API, whose libraries are loaded at the first request to speed
 * up the start. A request that finds them unreadable is refused, and the next one loads them.
 */
export function createLazyControlApi(
  source: ControlSource,
  load: ApiLoader = async () => (await import('./controlApi.js')).createControlApi(source),
): RequestListener {
  let loading: Promise<RequestListener> | null = null;
  return (request, response) => {
    loading ??= load();
    loading.then(
      (listener) => listener(request, response),
      () => {
        loading = null;
        request.resume();
        response.writeHead(503, { 'content-length': 0 }).end();
      },
    );
  };
}
