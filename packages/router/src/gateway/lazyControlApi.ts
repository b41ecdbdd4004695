import type { RequestListener } from 'node:http';

import type { ControlSource } from './controlApi.js';

/** Creates the control API's listener; its libraries are loaded with the first call only. */
export function createLazyControlApi(source: ControlSource): RequestListener {
  let loading: Promise<RequestListener> | null = null;
  return (request, response) => {
    loading ??= import('./controlApi.js').then(({ createControlApi }) => createControlApi(source));
    void loading.then((listen) => listen(request, response));
  };
}
