/** The settings that findCredentialFaults reads. */
interface CredentialSettings {
  readonly admin: { readonly operatorToken?: string; readonly operatorTokenFile?: string };
  readonly peers: {
    readonly host: string;
    readonly sharedKey?: string;
    readonly sharedKeyFile?: string;
    readonly tls?: unknown;
  };
}

/** A fault across several settings; the message says what is expected at the path. */
interface CredentialFault {
  readonly path: readonly string[];
  readonly message: string;
}

const LOOPBACK = /^(127\.\d{1,3}\.\d{1,3}\.\d{1,3}|::1|localhost)$/;

/** Finds credentials that are missing, and shared keys given both inline and as a file. */
export function findCredentialFaults({ admin, peers }: CredentialSettings): CredentialFault[] {
  const faults: CredentialFault[] = [];
  if (admin.operatorToken === undefined && admin.operatorTokenFile === undefined) {
    const message = 'an operatorToken or an operatorTokenFile';
    faults.push({ path: ['admin', 'operatorToken'], message });
  }
  if (peers.sharedKey !== undefined && peers.sharedKeyFile !== undefined) {
    const message = 'either a sharedKey or a sharedKeyFile, not both';
    faults.push({ path: ['peers', 'sharedKeyFile'], message });
  }
  const isUnauthenticated =
    peers.sharedKey === undefined && peers.sharedKeyFile === undefined && peers.tls === undefined;
  if (isUnauthenticated && !LOOPBACK.test(peers.host)) {
    const message = 'a sharedKey, a sharedKeyFile or tls, because peers listens beyond loopback';
    faults.push({ path: ['peers', 'sharedKey'], message });
  }
  return faults;
}
