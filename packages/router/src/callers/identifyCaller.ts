import { createHash } from 'node:crypto';

import {
  findAccount,
  findClass,
  type Account,
  type Class,
  type Core,
  type RefusalCode,
} from '@filbertlatch/core';

/** Header that names the class of a request. */
export const CLASS_HEADER = 'filbertlatch-class';

/** Longest class name that an error message quotes. */
const MAX_QUOTED_CHARACTERS = 64;

/** The account and class of a call, or why it is refused. */
export type Caller =
  | { readonly ok: true; readonly account: Account; readonly requestClass: Class }
  | { readonly ok: false; readonly code: RefusalCode; readonly message: string };

function readApiKey(authorization: string | undefined): string {
  return authorization?.match(/^Bearer (\S+)$/i)?.[1] ?? '';
}

/** Finds the account by its API key, and the class by its header or the account's default. */
export function identifyCaller(
  core: Core,
  authorization: string | undefined,
  className: string | undefined,
): Caller {
  if (core.table.view === null) {
    return { ok: false, code: 'not_ready', message: 'No table is in force yet.' };
  }
  // The lookup by digest takes no longer for a guess that begins like a valid key.
  const digest = createHash('sha256').update(readApiKey(authorization)).digest('hex');
  const account = findAccount(core.table, digest);
  if (account === undefined) {
    return { ok: false, code: 'unknown_key', message: 'The API key is not known.' };
  }
  const classId = className ?? account.defaultClass;
  const requestClass = findClass(core.table, classId);
  const allowed = account.classes === undefined || account.classes.includes(classId);
  if (requestClass === undefined || !allowed) {
    const shown = JSON.stringify(classId.slice(0, MAX_QUOTED_CHARACTERS));
    const message = `This account may not use the class ${shown}.`;
    return { ok: false, code: 'class_not_allowed', message };
  }
  return { ok: true, account, requestClass };
}
