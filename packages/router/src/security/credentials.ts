import { readFile } from 'node:fs/promises';

import { RouterError } from '../errors/index.js';
import type { Settings } from '../settings/index.js';

/** Certificate chain, private key and, for peers, the certificate authorities; all PEM. */
export interface TlsMaterial {
  readonly cert: string;
  readonly key: string;
  readonly ca?: string;
}

/** All credentials of one VM as they were last read. */
export interface Credentials {
  readonly operatorTokens: readonly string[];
  readonly readerTokens: readonly string[];
  /** Keys shared by the VMs: the first is sent, all are accepted; empty with TLS or on loopback. */
  readonly peerKeys: readonly string[];
  readonly callerTls: TlsMaterial | null;
  readonly adminTls: TlsMaterial | null;
  readonly peerTls: TlsMaterial | null;
}

const MIN_SECRET_LENGTH = 16;

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch (cause) {
    throw new RouterError('credentials_unreadable', `${path} cannot be read`, { cause });
  }
}

async function readSecrets(
  inline: string | undefined,
  path: string | undefined,
): Promise<readonly string[]> {
  const inlineSecrets = inline === undefined ? [] : [inline];
  if (path === undefined) return inlineSecrets;
  const lines = (await readText(path)).split(/\r?\n/).map((line) => line.trim());
  const secrets = lines.filter((line) => line !== '');
  if (secrets.length === 0 || secrets.some((line) => line.length < MIN_SECRET_LENGTH)) {
    const wanted = `lines of at least ${MIN_SECRET_LENGTH} characters`;
    throw new RouterError('credentials_unreadable', `${path}: expected ${wanted}`);
  }
  return [...inlineSecrets, ...secrets];
}

interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  readonly authorityFile?: string;
}

async function readTls(files: TlsFiles | undefined): Promise<TlsMaterial | null> {
  if (files === undefined) return null;
  const [cert, key] = await Promise.all([readText(files.certificateFile), readText(files.keyFile)]);
  if (files.authorityFile === undefined) return { cert, key };
  return { cert, key, ca: await readText(files.authorityFile) };
}

/** Reads all credentials that the settings name. Throws RouterError when a file is unusable. */
export async function readCredentials({ callers, admin, peers }: Settings): Promise<Credentials> {
  return {
    operatorTokens: await readSecrets(admin.operatorToken, admin.operatorTokenFile),
    readerTokens: await readSecrets(admin.readerToken, admin.readerTokenFile),
    peerKeys: await readSecrets(peers.sharedKey, peers.sharedKeyFile),
    callerTls: await readTls(callers.tls),
    adminTls: await readTls(admin.tls),
    peerTls: await readTls(peers.tls),
  };
}

/** Lists the files that the credentials are read from. */
export function listCredentialFiles({ callers, admin, peers }: Settings): string[] {
  const tls: (TlsFiles | undefined)[] = [callers.tls, admin.tls, peers.tls];
  const files = [
    admin.operatorTokenFile,
    admin.readerTokenFile,
    peers.sharedKeyFile,
    ...tls.flatMap((part) => [part?.certificateFile, part?.keyFile, part?.authorityFile]),
  ];
  return files.filter((path) => path !== undefined);
}
