import type { HttpBindings } from '@hono/node-server';
import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';

interface Env {
  readonly Bindings: HttpBindings;
}

/** Creates a handler that answers a body of more than `maxBytes` with `onError`. */
export function limitBody(
  maxBytes: number,
  onError: (c: Context<Env>) => Response,
): MiddlewareHandler<Env> {
  const limitUndeclared = bodyLimit({
    maxSize: maxBytes,
    onError: (c) => onError(c as Context<Env>),
  });
  return async (c, next) => {
    // Hot path: the library's limit builds a whole Request first. The server holds a body to its
    // declared length, so only a body without one has to be counted.
    const declaredBytes = c.env.incoming.headers['content-length'];
    if (declaredBytes === undefined) return limitUndeclared(c, next);
    return Number(declaredBytes) > maxBytes ? onError(c) : next();
  };
}
