import type { Context, MiddlewareHandler } from 'hono';
import { createMiddleware } from 'hono/factory';

import { isOneOfSecrets } from '../security/index.js';

/** Role of a token: a reader may query, an operator may also send commands. */
export type Role = 'reader' | 'operator';

/** Tokens of the admin API, read on each request so that they can be replaced. */
export interface AdminTokens {
  operator(): readonly string[];
  reader(): readonly string[];
}

function findRole(token: string, tokens: AdminTokens): Role | null {
  if (isOneOfSecrets(token, tokens.operator())) return 'operator';
  return isOneOfSecrets(token, tokens.reader()) ? 'reader' : null;
}

function roleOf(c: Context, tokens: AdminTokens): Role | null {
  const token = c.req.header('authorization')?.match(/^Bearer (\S+)$/i)?.[1];
  return token === undefined ? null : findRole(token, tokens);
}

/** Creates middleware that refuses requests whose token lacks a role; operators are readers too. */
export function requireRole(role: Role, tokens: AdminTokens): MiddlewareHandler {
  return createMiddleware(async (c, next) => {
    const found = roleOf(c, tokens);
    if (found === null) {
      c.header('www-authenticate', 'Bearer');
      return c.json({ error: 'unknown token' }, 401);
    }
    if (role === 'operator' && found !== 'operator') {
      return c.json({ error: 'the operator role is needed' }, 403);
    }
    return next();
  });
}
