import type { RequestListener } from 'node:http';

import type { ControlSource } from './controlApi.js';

/**
 * Creates the listener of the control API, whose libraries are loaded at the first request to speed
 * up the start.
 */
export function createLazyControlApi(source: ControlSource): RequestListener {
  let loading: Promise<RequestListener> | null = null;
  return (request, response) => {
    loading ??= import('./controlApi.js').then(({ createControlApi }) => createControlApi(source));
    void loading.then((listener) => listener(request, response));
  };
}
