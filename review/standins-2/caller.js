import { request } from 'node:http';

import { drawAttemptId } from '@filbertlatch/platform/soak/standins/client.js';

/**
 * Sends one client attempt on a channel of its own, or a kept one of `agent`; resolves with what the client has
 * seen: `answer` is `whole`, `cut` (ended inside the answer) or `none`.
 */
export function send(front, { method = 'POST', host, path, headers = {}, body = null, agent }) {
  const [hostname, port] = front.split(':');
  const id = drawAttemptId();
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const seen = {
      id,
      front,
      sentAt,
      isReused: false,
      headAt: null,
      status: null,
      headers: {},
      text: '',
    };
    const finish = (answer, error = null) =>
      resolve({ ...seen, answer, error: error?.code ?? null, endedAt: Date.now() });
    const call = request({
      hostname,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        Host: host,
        'Attempt-Id': id,
        ...headers,
        ...(body === null ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      },
    });
    call.on('socket', () => {
      seen.isReused = call.reusedSocket;
    });
    call.on('error', (error) => finish(seen.status === null ? 'none' : 'cut', error));
    call.on('response', (response) => {
      seen.status = response.statusCode;
      seen.headers = response.headers;
      seen.headAt = Date.now();
      response.setEncoding('latin1');
      response.on('data', (text) => {
        seen.text += text;
      });
      response.on('end', () => finish(response.complete ? 'whole' : 'cut'));
      response.on('error', (error) => finish('cut', error));
    });
    call.end(body);
  });
}
