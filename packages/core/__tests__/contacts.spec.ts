import {
  chooseTransitPeer,
  createContactState,
  createRandom,
  endSilence,
  isCutOff,
  listLostServices,
  listSilentServices,
  listTransitPeers,
  lostSince,
  MAX_PEER_SILENCE_MS,
  recordBrokenContact,
  recordContact,
  recordFailedContact,
  recordPeerContact,
  removeStaleContacts,
  silenceOf,
  startCheck,
  wasCutOffSince,
  type ContactState,
  type PeerContact,
} from '../src/index.js';
import { describe, it } from '../src/testing/index.js';

const SERVICE = 'desk';

const START = 1_000_000;

const peer = (changes: Partial<PeerContact> = {}): PeerContact => ({
  address: '127.0.0.1:1',
  zone: 'zone-a',
  heardAt: START,
  takesTransits: true,
  openTransits: 0,
  configurationVersion: 3,
  lostServices: new Set(),
  contactAt: new Map([[SERVICE, START]]),
  ...changes,
});

const fail = (state: ContactState, endpointId: string, at: number, endpointCount = 3) =>
  recordFailedContact(state, SERVICE, { endpointId, endpointCount, unanswered: null }, at);

const CHECK_MS = 250;

/** Checks an endpoint, which opens a connection and does not answer; the service is heard at `heardAt`. */
const failSilently = (state: ContactState, endpointId: string, startedAt: number, heardAt = 0) => {
  const unanswered = { ...startCheck(state, SERVICE, startedAt), heardAt };
  const report = { endpointId, endpointCount: 3, unanswered };
  return recordFailedContact(state, SERVICE, report, startedAt + CHECK_MS);
};

const choose = (state: ContactState, tried: readonly string[] = []) =>
  chooseTransitPeer(
    state,
    {
      serviceId: SERVICE,
      zone: 'zone-a',
      configurationVersion: 3,
      tried: new Set(tried),
      isPrompt: () => true,
      ownTransits: () => 0,
      random: createRandom(1),
    },
    START - MAX_PEER_SILENCE_MS,
  )?.id;

describe('contact with the endpoints of a service', () => {
  it('is not lost by one endpoint that fails again and again', (t) => {
    const state = createContactState();
    for (let at = START; at < START + 5000; at += 100) t.is(fail(state, 'e1', at), 'none');
    t.is(lostSince(state, SERVICE), null);
  });

  it('is lost when several fail and none was reached since, once', (t) => {
    const state = createContactState();
    t.is(fail(state, 'e1', START), 'none');
    t.is(fail(state, 'e2', START + 10), 'doubtful');
    t.is(lostSince(state, SERVICE), null);
    t.is(fail(state, 'e3', START + 20), 'lost');
    t.is(fail(state, 'e4', START + 30), 'none');
    t.is(lostSince(state, SERVICE), START + 20);
    t.deepEqual(listLostServices(state), [SERVICE]);
  });

  it('is not lost by failures with a contact between them, or long apart', (t) => {
    const state = createContactState();
    fail(state, 'e1', START);
    recordContact(state, SERVICE, START + 5);
    fail(state, 'e2', START + 10);
    fail(state, 'e3', START + 20);
    fail(state, 'e4', START + 5000);
    t.is(lostSince(state, SERVICE), null);
  });

  it('is in doubt, and not lost, when endpoints break connections', (t) => {
    const state = createContactState();
    t.is(recordBrokenContact(state, SERVICE, 'e1', START), 'none');
    t.is(recordBrokenContact(state, SERVICE, 'e2', START + 10), 'doubtful');
    t.is(recordBrokenContact(state, SERVICE, 'e3', START + 20), 'doubtful');
    t.is(lostSince(state, SERVICE), null);
    fail(state, 'e1', START + 30);
    fail(state, 'e2', START + 30);
    t.is(fail(state, 'e3', START + 40), 'lost');
    t.is(recordBrokenContact(state, SERVICE, 'e1', START + 50), 'none');
  });

  it('is lost by the only endpoint', (t) => {
    t.is(fail(createContactState(), 'e1', START, 1), 'lost');
  });

  it('is regained by one endpoint that answers', (t) => {
    const state = createContactState();
    fail(state, 'e1', START);
    fail(state, 'e2', START);
    fail(state, 'e3', START);
    t.is(recordContact(state, SERVICE, START + 400).lostAt, START);
    t.is(recordContact(state, SERVICE, START + 500).lostAt, null);
    t.is(lostSince(state, SERVICE), null);
  });
});

describe('a service whose endpoints open connections and do not answer', () => {
  const silence = (state: ContactState, since = START) =>
    ['e1', 'e2', 'e3'].map((id) => failSilently(state, id, since));
  const tell = (state: ContactState, at: number) =>
    recordPeerContact(state, 'vm-2', peer({ contactAt: new Map([[SERVICE, at]]) }));

  it('is silent and not lost while no peer hears it', (t) => {
    const state = createContactState();
    t.deepEqual(silence(state), ['none', 'doubtful', 'silent']);
    for (let at = START + CHECK_MS; at < START + 5000; at += CHECK_MS) {
      t.is(failSilently(state, 'e1', at), 'none');
    }
    t.is(lostSince(state, SERVICE), null);
    t.deepEqual(listSilentServices(state), [SERVICE]);
    t.deepEqual(listLostServices(state), []);
  });

  it('is not lost by what a peer heard before, or as the silence began', (t) => {
    const state = createContactState();
    tell(state, START + 50);
    silence(state);
    t.is(failSilently(state, 'e1', START + 500), 'none');
    t.is(lostSince(state, SERVICE), null);
  });

  it('is lost once a peer has heard it meanwhile and a later check is not answered', (t) => {
    const state = createContactState();
    silence(state);
    tell(state, START + 400);
    t.is(lostSince(state, SERVICE), null);
    t.is(failSilently(state, 'e1', START + 500), 'lost');
    t.is(lostSince(state, SERVICE), START + 500 + CHECK_MS);
  });

  it('is not lost by a peer that hears its end first', (t) => {
    const state = createContactState();
    silence(state);
    const check = { ...startCheck(state, SERVICE, START + 500), heardAt: 0 };
    tell(state, START + 700);
    const report = { endpointId: 'e1', endpointCount: 3, unanswered: check };
    t.is(recordFailedContact(state, SERVICE, report, START + 750), 'none');
    t.is(lostSince(state, SERVICE), null);
  });

  it('is lost when all its endpoints cannot be reached any more', (t) => {
    const state = createContactState();
    silence(state);
    const signs = ['e1', 'e2', 'e3'].map((id) => fail(state, id, START + 500));
    t.is(signs.at(-1), 'lost');
  });

  it('is silent when some of its endpoints cannot be reached', (t) => {
    const state = createContactState();
    fail(state, 'e1', START);
    fail(state, 'e2', START);
    t.is(failSilently(state, 'e3', START), 'silent');
    t.is(lostSince(state, SERVICE), null);
    t.deepEqual(silenceOf(state, SERVICE)?.unreachable, new Set(['e1', 'e2']));
  });

  it('is heard again with the first bytes, and begins anew after them', (t) => {
    const state = createContactState();
    silence(state);
    t.is(endSilence(state, SERVICE, START - 10), null);
    t.deepEqual(endSilence(state, SERVICE, START + 600), {
      heardAt: 0,
      since: START,
      unreachable: new Set(),
    });
    t.is(silenceOf(state, SERVICE), null);
    tell(state, START + 600);
    t.is(failSilently(state, 'e1', START + 700, START + 600), 'none');
    t.is(lostSince(state, SERVICE), null);
  });

  it('tells what a contact has ended', (t) => {
    const state = createContactState();
    silence(state);
    const ended = { lostAt: null, silence: { heardAt: 0, since: START, unreachable: new Set() } };
    t.deepEqual(recordContact(state, SERVICE, START + 900), ended);
    t.deepEqual(listSilentServices(state), []);
  });
});

describe('a VM that lost a service', () => {
  const lose = () => {
    const state = createContactState();
    fail(state, 'e1', START);
    fail(state, 'e2', START);
    fail(state, 'e3', START);
    return state;
  };

  it('does not take a crash of all endpoints for a cut', (t) => {
    const state = lose();
    recordPeerContact(state, 'vm-2', peer({ contactAt: new Map([[SERVICE, START + 50]]) }));
    t.false(isCutOff(state, SERVICE));
    t.false(wasCutOffSince(state, SERVICE, START));
  });

  it('is cut off when a peer goes on hearing from it, and remembers until when', (t) => {
    const state = lose();
    recordPeerContact(state, 'vm-2', peer({ contactAt: new Map([[SERVICE, START + 500]]) }));
    t.true(isCutOff(state, SERVICE));
    recordContact(state, SERVICE, START + 1000);
    t.false(isCutOff(state, SERVICE));
    t.true(wasCutOffSince(state, SERVICE, START + 900));
    t.false(wasCutOffSince(state, SERVICE, START + 1001));
  });

  it('forgets services that are configured no more, and silent peers', (t) => {
    const state = lose();
    recordPeerContact(state, 'vm-2', peer());
    removeStaleContacts(state, () => false, START + 20_000);
    t.is(state.services.size, 0);
    t.is(state.peers.size, 0);
  });
});

describe('the VM that carries a request', () => {
  const unfit: Readonly<Record<string, Partial<PeerContact>>> = {
    'has lost the service itself': { lostServices: new Set([SERVICE]) },
    'takes no requests': { takesTransits: false },
    'has been silent': { heardAt: START - 2000 },
    'has an older configuration': { configurationVersion: 2 },
  };
  Object.entries(unfit).forEach(([title, changes]) => {
    it(`is none that ${title}`, (t) => {
      const state = createContactState();
      recordPeerContact(state, 'vm-2', peer(changes));
      t.is(choose(state), undefined);
    });
  });

  it('is none that refused it', (t) => {
    const state = createContactState();
    recordPeerContact(state, 'vm-2', peer());
    recordPeerContact(state, 'vm-3', peer());
    t.is(choose(state, ['vm-2']), 'vm-3');
    t.is(choose(state, ['vm-2', 'vm-3']), undefined);
  });

  it('is one of the own zone while half of it is in touch', (t) => {
    const state = createContactState();
    recordPeerContact(state, 'vm-2', peer());
    recordPeerContact(state, 'vm-3', peer({ zone: 'zone-b' }));
    t.is(choose(state), 'vm-2');
  });

  it('is the less loaded of two, of any zone when most of the own one is cut', (t) => {
    const state = createContactState();
    recordPeerContact(state, 'vm-2', peer({ openTransits: 50 }));
    const lostServices = new Set([SERVICE]);
    ['vm-3', 'vm-4'].forEach((id) => recordPeerContact(state, id, peer({ lostServices })));
    ['vm-5', 'vm-6', 'vm-7'].forEach((id) => {
      recordPeerContact(state, id, peer({ zone: 'zone-b' }));
    });
    t.is(listTransitPeers(state, SERVICE, START - MAX_PEER_SILENCE_MS).length, 4);
    t.not(choose(state), 'vm-2');
  });
});
