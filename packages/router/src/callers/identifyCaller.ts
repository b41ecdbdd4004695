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

const LONGEST_SHOWN = 64;

/** Who calls, and in which class. */
export type Caller =
  | { readonly ok: true; readonly account: Account; readonly row: Class }
  | { readonly ok: false; readonly code: RefusalCode; readonly message: string };

function keyOf(authorization: string | undefined): string {
  return authorization?.match(/^Bearer (\S+)$/i)?.[1] ?? '';
}

/** Finds the account by its API key and the class by header or the account's default. */
export function identifyCaller(
  core: Core,
  authorization: string | undefined,
  className: string | undefined,
): Caller {
  if (core.table.view === null) {
    return { ok: false, code: 'not_ready', message: 'No table is in force yet.' };
  }
  // Looking up a digest takes the same time whatever part of the key is right.
  const digest = createHash('sha256').update(keyOf(authorization)).digest('hex');
  const account = findAccount(core.table, digest);
  if (account === undefined) {
    return { ok: false, code: 'unknown_key', message: 'The API key is not known.' };
  }
  const classId = className ?? account.defaultClass;
  const row = findClass(core.table, classId);
  const allowed = account.classes === undefined || account.classes.includes(classId);
  if (row === undefined || !allowed) {
    const shown = JSON.stringify(classId.slice(0, LONGEST_SHOWN));
    const message = `This account may not use the class ${shown}.`;
    return { ok: false, code: 'class_not_allowed', message };
  }
  return { ok: true, account, row };
}
