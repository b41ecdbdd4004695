import type { RequestListener, ServerResponse } from 'node:http';

import { describe, it } from '@filbertlatch/core/testing';

import {
  call,
  createSource,
  startEndpoint,
  startGateway,
  testConfiguration,
  waitUntil,
  type TestEndpoint,
  type TestGateway,
} from './fixtures.js';

type Answer = RequestListener;

const answerWhole: Answer = (request, response) => {
  response.writeHead(201, {
    'x-request': request.headers['x-request'],
    'x-mac': 'mac-1',
    'x-own': 'kept',
  });
  response.end(`answer to ${request.url}`);
};

const breakConnection: Answer = (request) => request.socket.destroy();

const answerNotRun: Answer = (_request, response) => {
  response.writeHead(503, { 'x-not-run': '1' }).end();
};

const formatEvent = (id: number) => `id: ${id}\ndata: ${'x'.repeat(id)}\n\n`;

function beginEvents(request: Parameters<Answer>[0], response: ServerResponse): void {
  response.writeHead(200, {
    'x-request': request.headers['x-request'],
    'x-mac': 'mac-1',
    'content-type': 'text/event-stream',
  });
}

interface TestFleet {
  readonly gateway: TestGateway;
  readonly endpoints: readonly TestEndpoint[];
}

async function withFleet(answers: readonly Answer[], use: (fleet: TestFleet) => Promise<void>) {
  const endpoints = await Promise.all(
    answers.map((answer, index) => startEndpoint(`e${index}`, answer)),
  );
  const source = createSource(
    testConfiguration,
    endpoints.map(({ endpoint }) => endpoint),
  );
  const gateway = await startGateway(source);
  try {
    await waitUntil(async () => (await call(gateway.ready, '/ready')).status === 200);
    await use({ gateway, endpoints });
  } finally {
    gateway.gateway.stop();
    endpoints.forEach((endpoint) => endpoint.close());
  }
}

const countRuns = (endpoints: readonly TestEndpoint[]) =>
  endpoints.reduce((sum, { requests }) => sum + requests.length, 0);

describe('at a gateway', () => {
  describe('without a configuration', () => {
    it('the readiness check fails and callers are told when to retry', async (t) => {
      const gateway = await startGateway(createSource(null, []));
      t.is((await call(gateway.ready, '/ready')).status, 503);
      const answer = await call(gateway.callers, '/plain/1');
      t.is(answer.status, 503);
      t.true(Number(answer.headers['retry-after']) > 0);
      gateway.gateway.stop();
    });

    it('callers are told to wait longer while the store does not answer', async (t) => {
      const read = async () => Promise.reject(new Error('away'));
      const gateway = await startGateway({ ...createSource(null, []), read });
      await waitUntil(async () => {
        const answer = await call(gateway.callers, '/plain/1');
        return answer.status === 503 && Number(answer.headers['retry-after']) >= 1;
      });
      t.pass();
      gateway.gateway.stop();
    });
  });

  describe('a request', () => {
    it('is forwarded completely and its answer is returned unchanged', async (t) => {
      await withFleet([answerWhole], async ({ gateway, endpoints }) => {
        const answer = await call(gateway.callers, '/plain/a%2Fb?q=1', {
          method: 'POST',
          body: 'body',
        });
        t.is(answer.status, 201);
        t.is(answer.body, 'answer to /plain/a%2Fb?q=1');
        t.is(answer.headers['x-mac'], 'mac-1');
        t.is(answer.headers['x-own'], 'kept');
        const [received] = endpoints[0]!.requests;
        t.is(received!.headers['x-account'], 'station');
        t.is(received!.headers['x-endpoint'], 'e0');
        t.is(received!.headers['x-key'], undefined);
        t.true(Number(received!.headers['x-remaining']) <= 5000);
      });
    });

    it('without a route, a known key or a body within the limit is sent to no endpoint', async (t) => {
      await withFleet([answerWhole], async ({ gateway, endpoints }) => {
        const status = async (path: string, options = {}) =>
          (await call(gateway.callers, path, options)).status;
        t.is(await status('/nowhere/'), 404);
        t.is(await status('/plain/', { headers: { host: 'other.example' } }), 404);
        t.is(await status('/plain/', { headers: { 'x-key': 'old-key' } }), 401);
        t.is(await status('/plain/', { method: 'POST', body: 'x'.repeat(1001) }), 413);
        t.is(countRuns(endpoints), 0);
        t.is(await status('/open/', { headers: { 'x-key': 'old-key' } }), 201);
      });
    });

    it('is sent to another endpoint when one has not run it', async (t) => {
      await withFleet([answerNotRun, answerWhole], async ({ gateway }) => {
        for (let sent = 0; sent < 6; sent += 1) {
          t.is((await call(gateway.callers, '/plain/', { method: 'POST' })).status, 201);
        }
      });
    });

    it('is answered with a retry delay when no endpoint has run it', async (t) => {
      await withFleet([answerNotRun], async ({ gateway }) => {
        const answer = await call(gateway.callers, '/plain/', { method: 'POST' });
        t.is(answer.status, 503);
        t.truthy(answer.headers['retry-after']);
      });
    });
  });

  describe('an attempt whose connection breaks', () => {
    it('is neither retried nor reported as not run when its request must run at most once', async (t) => {
      await withFleet([breakConnection, breakConnection], async ({ gateway, endpoints }) => {
        t.is((await call(gateway.callers, '/plain/', { method: 'POST' })).status, 502);
        t.is(countRuns(endpoints), 1);
      });
    });

    it('is retried at another endpoint when its request is idempotent, within the attempts of the route', async (t) => {
      await withFleet([breakConnection, answerWhole], async ({ gateway }) => {
        for (let sent = 0; sent < 4; sent += 1) {
          t.is((await call(gateway.callers, '/safe/')).status, 201);
        }
      });
      await withFleet(
        [breakConnection, breakConnection, breakConnection],
        async ({ gateway, endpoints }) => {
          t.is((await call(gateway.callers, '/safe/')).status, 502);
          t.is(countRuns(endpoints), 2);
        },
      );
    });
  });

  describe('a request that an endpoint did not answer', () => {
    async function withEndpoint(
      endpoint: TestEndpoint,
      use: (gateway: TestGateway, countCrashes: () => Promise<number>) => Promise<void>,
    ) {
      const gateway = await startGateway(createSource(testConfiguration, [endpoint.endpoint]));
      const countCrashes = async () => {
        const { body } = await call(gateway.control, '/metrics');
        return Number(/filbertlatch_known_crashes (\d+)/.exec(body)?.[1]);
      };
      try {
        await waitUntil(async () => (await call(gateway.ready, '/ready')).status === 200);
        await use(gateway, countCrashes);
      } finally {
        gateway.gateway.stop();
        endpoint.close();
      }
    }

    it('is not refused for crashes of others while complete answers come between them', async (t) => {
      let sends = 0;
      const answer: Answer = (request, response) => {
        sends += 1;
        if (sends % 2 === 1) request.socket.destroy();
        else answerWhole(request, response);
      };
      // The other id in its health checks shows that the endpoint has ended.
      const endpoint = await startEndpoint('e0', answer, (_request, response) => {
        response.setHeader('x-instance', 'e1');
        response.end();
      });
      await withEndpoint(endpoint, async (gateway, countCrashes) => {
        for (let crash = 0; crash < 4; crash += 1) {
          t.is((await call(gateway.callers, '/plain/')).status, 502);
          await waitUntil(async () => (await countCrashes()) > 0);
          t.is((await call(gateway.callers, '/plain/')).status, 201);
        }
      });
    });

    it('counts as a crash of a silent endpoint when its caller leaves before the deadline', async (t) => {
      const endpoint = await startEndpoint(
        'e0',
        () => {},
        () => {},
      );
      await withEndpoint(endpoint, async (gateway, countCrashes) => {
        const [host, port] = gateway.callers.split(':');
        const { connect } = await import('node:net');
        const socket = connect(Number(port), host);
        socket.write('GET /safe/ HTTP/1.1\r\nHost: desk.example\r\nX-Key: right-key\r\n\r\n');
        await waitUntil(() => endpoint.requests.length > 0);
        await new Promise((resolve) => {
          setTimeout(resolve, 1200);
        });
        socket.destroy();
        await waitUntil(async () => (await countCrashes()) === 1);
        t.is(await countCrashes(), 1);
      });
    });

    it('is not refused when the endpoint is too busy for a health check but answers others', async (t) => {
      const answer: Answer = (request, response) => {
        if (!request.url!.startsWith('/stream/')) return;
        beginEvents(request, response);
        const timer = setInterval(() => response.write(formatEvent(1)), 50);
        response.on('close', () => clearInterval(timer));
      };
      const endpoint = await startEndpoint('e0', answer, () => {});
      await withEndpoint(endpoint, async (gateway, countCrashes) => {
        const stream = call(gateway.callers, '/stream/');
        for (let send = 0; send < 8; send += 1) {
          const answered = await call(gateway.callers, '/plain/', {
            headers: { 'x-remaining': '300' },
          });
          t.is(answered.status, 504);
        }
        t.is(await countCrashes(), 0);
        endpoint.close();
        t.false((await stream).isComplete);
      });
    });
  });

  describe('an invalid answer', () => {
    it('with another request id or without a signature never reaches the caller', async (t) => {
      const foreign: Answer = (_request, response) => {
        response.writeHead(200, { 'x-request': 'request-2', 'x-mac': 'mac-2' }).end('secret');
      };
      const unsigned: Answer = (request, response) => {
        response.writeHead(200, { 'x-request': request.headers['x-request'] }).end('forged');
      };
      for (const answer of [foreign, unsigned]) {
        await withFleet([answer], async ({ gateway }) => {
          const { status, body } = await call(gateway.callers, '/plain/');
          t.is(status, 502);
          t.false(body.includes('secret') || body.includes('forged'));
        });
      }
    });

    it('that was cut short is not reported as complete', async (t) => {
      const cut: Answer = (request, response) => {
        response.writeHead(200, {
          'x-request': request.headers['x-request'],
          'x-mac': 'mac-1',
          'content-length': '100',
        });
        response.write('half');
        setTimeout(() => request.socket.destroy(), 10);
      };
      await withFleet([cut], async ({ gateway }) => {
        t.is((await call(gateway.callers, '/plain/')).status, 502);
      });
    });
  });

  describe('a stream', () => {
    it('that breaks resumes at another endpoint after its last complete event', async (t) => {
      const resuming: Answer = (request, response) => {
        const after = Number(request.headers['x-after'] ?? 0);
        beginEvents(request, response);
        if (after === 0) {
          response.write(formatEvent(1) + formatEvent(2) + formatEvent(3).slice(0, 5));
          setTimeout(() => request.socket.destroy(), 10);
        } else {
          for (let id = after + 1; id <= 4; id += 1) response.write(formatEvent(id));
          response.end();
        }
      };
      await withFleet([resuming, resuming], async ({ gateway, endpoints }) => {
        const answer = await call(gateway.callers, '/resumed/', { method: 'POST' });
        t.true(answer.isComplete);
        t.is(answer.body, formatEvent(1) + formatEvent(2) + formatEvent(3) + formatEvent(4));
        t.is(countRuns(endpoints), 2);
      });
    });

    it('that breaks and must not run twice does not look complete', async (t) => {
      const cut: Answer = (request, response) => {
        beginEvents(request, response);
        response.write(formatEvent(1));
        setTimeout(() => request.socket.destroy(), 10);
      };
      await withFleet([cut, cut], async ({ gateway, endpoints }) => {
        const answer = await call(gateway.callers, '/stream/', { method: 'POST' });
        t.false(answer.isComplete);
        t.is(answer.body, formatEvent(1));
        t.is(countRuns(endpoints), 1);
      });
    });

    it('is cancelled at the endpoint when its caller leaves', async (t) => {
      let hasClosed = false;
      const endless: Answer = (request, response) => {
        beginEvents(request, response);
        response.write(formatEvent(1));
        response.on('close', () => {
          hasClosed = true;
        });
      };
      await withFleet([endless], async ({ gateway }) => {
        const [host, port] = gateway.callers.split(':');
        const { connect } = await import('node:net');
        const socket = connect(Number(port), host);
        socket.write(
          'POST /stream/ HTTP/1.1\r\nHost: desk.example\r\nX-Request: r\r\nX-Key: right-key\r\nContent-Length: 0\r\n\r\n',
        );
        await new Promise((resolve) => {
          socket.once('data', resolve);
        });
        socket.destroy();
        await waitUntil(() => hasClosed);
        t.true(hasClosed);
      });
    });
  });

  describe('that drains', () => {
    it('the readiness check fails, open requests complete, then connections are closed', async (t) => {
      let finish: () => void = () => {};
      const slow: Answer = (request, response) => {
        finish = () => answerWhole(request, response);
      };
      await withFleet([slow], async ({ gateway, endpoints }) => {
        const running = call(gateway.callers, '/plain/');
        await waitUntil(() => countRuns(endpoints) === 1);
        const drained = gateway.gateway.drain();
        t.is((await call(gateway.ready, '/ready')).status, 503);
        finish();
        const answer = await running;
        t.is(answer.status, 201);
        t.is(answer.headers.connection, 'close');
        await drained;
        await t.throwsAsync(call(gateway.callers, '/plain/'));
      });
    });
  });

  describe('the control API', () => {
    it('returns state and metrics, which contain no keys', async (t) => {
      await withFleet([answerWhole], async ({ gateway }) => {
        await call(gateway.callers, '/plain/');
        const state = await call(gateway.control, '/state');
        t.is((JSON.parse(state.body) as { configurationVersion: number }).configurationVersion, 4);
        t.false(state.body.includes('right-key'));
        const metrics = await call(gateway.control, '/metrics');
        t.regex(metrics.body, /filbertlatch_requests_total\{route="plain",outcome="served"\} 1/);
      });
    });
  });
});
