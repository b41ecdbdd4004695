import type { HttpBindings } from '@hono/node-server';
import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';

interface Env {
  readonly Bindings: HttpBindings;
}

/** Creates a handler that refuses bodies over so many bytes. */
export function limitBody(
  maxSize: number,
  onError: (c: Context<Env>) => Response,
): MiddlewareHandler<Env> {
  const limitUnannounced = bodyLimit({ maxSize, onError: (c) => onError(c as Context<Env>) });
  return async (c, next) => {
    // Hot path: the library's limit builds a whole Request first. The server holds a body to its
    // announced length, so only one without that has to be counted.
    const announced = c.env.incoming.headers['content-length'];
    if (announced === undefined) return limitUnannounced(c, next);
    return Number(announced) > maxSize ? onError(c) : next();
  };
}
