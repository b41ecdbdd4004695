import { createServer, type Server } from 'node:http';

import {
  BEAT_INTERVAL_MS,
  configurationVersion,
  countKnownCrashes,
  countLimitedEndpoints,
  countSegments,
  createRandom,
  randomInteger,
  MAX_REPORTED_CRASHES,
  removeExpiredCrashes,
  removeEndedPauses,
  removeExpiredOrigins,
  removeExpiredSegments,
  removeExpiredTrials,
  removeExpiredTraces,
  divideRequestLimits,
  removeStaleContacts,
  removeStaleDepartures,
  removeStaleLimits,
  dropStaleWork,
  hashText,
} from '@filbertlatch/core';

import { now } from '../clock.js';
import { createLog, standardError, standardOutput } from '../log/index.js';
import { BodyRoom, defaultLimitBytes, MemoryAccount } from '../memory/index.js';
import { openAll, openServer, type WantedAddress } from '../openAddress.js';
import { splitAddress } from './address.js';
import { CallerConnections } from './callerConnections.js';
import { AnswerBuffers } from './answerBuffers.js';
import { BrittleTask } from './brittleTask.js';
import { ConnectionTable } from './connectionTable.js';
import { divideDescriptors, UNLIMITED } from './connectionLimits.js';
import { ContactTask } from './contactTask.js';
import { CrashRecorder } from './crashRecorder.js';
import { DepartureRecorder } from './departureRecorder.js';
import { Drain } from './drain.js';
import type { Dialect } from './dialect.js';
import { CallerServer } from './callerServer.js';
import type { GatewayContext } from './gatewayContext.js';
import type { EndpointTerms } from './endpointTerms.js';
import { GatewayLog } from './gatewayLog.js';
import { GatewayMetrics } from './gatewayMetrics.js';
import { LimitRecorder } from './limitRecorder.js';
import { LateLinkTask } from './lateLinkTask.js';
import { LivenessTask } from './livenessTask.js';
import { countFleetVms, createGatewayState, isServing } from './gatewayState.js';
import { dumpGateway, type GatewayDump } from './dumpGateway.js';
import { IntakeTask } from './intakeTask.js';
import { createLazyControlApi } from './lazyControlApi.js';
import { LoopDelay } from './loopDelay.js';
import { OriginTask } from './originTask.js';
import { PauseRecorder } from './pauseRecorder.js';
import { PeerLinks } from './peerLinks.js';
import { PeerTask } from './peerTask.js';
import { ProbeTask } from './probeTask.js';
import type { PublicationSource } from './publication.js';
import { ServiceSilence } from './serviceSilence.js';
import { PublicationTask } from './publicationTask.js';
import { RequestQueue } from './requestQueue.js';
import type { GatewaySettings } from './settings.js';
import { isTransit, TransitServer } from './transitServer.js';
import { TransitTask } from './transitTask.js';

/** Interval of the maintenance timer, which is the heartbeat too. */
const MAINTENANCE_INTERVAL_MS = BEAT_INTERVAL_MS;

/** Time for which connections may wait to be accepted while the VM is ready for more. */
const MAX_ACCEPT_DELAY_MS = 500;

/** Length of a standstill from which the process counts as having been paused. */
const MIN_PROCESS_PAUSE_MS = 1400;

/** The load of a peer is ignored when its last message is older than this. */
const PEER_LOAD_EXPIRY_MS = 5000;

/** Headers of callers that another VM sends on, and its own. */
const MAX_CONTROL_HEADER_BYTES = 65_536;

const MS_PER_SECOND = 1000;

/** A running gateway. */
export interface Gateway {
  /** Returns a dump of the state; contains no keys, prompts or bodies. */
  state(): GatewayDump;
  /** Applies reloaded settings; only the seeds take effect without a restart. */
  applySettings(settings: GatewaySettings): void;
  /**
   * Reports not ready, waits for open requests within the grace period, then stops. The signal to stop
   * came `elapsedMs` milliseconds ago.
   */
  drain(elapsedMs?: number): Promise<void>;
  /** Stops immediately and closes all connections. */
  stop(): void;
}

async function listen(server: Server, wanted: WantedAddress): Promise<void> {
  const { host, port } = splitAddress(wanted.address);
  await openServer(server, host, port, wanted);
}

/**
 * Starts a gateway; resolves when it listens, which it does as soon as its addresses are free. Rejects
 * when an address cannot be used, or when the signal ends the wait; nothing stays open then.
 */
export async function createGateway(
  settings: GatewaySettings,
  source: PublicationSource,
  dialect: Dialect,
  signal?: AbortSignal,
): Promise<Gateway> {
  const seed = hashText(`${settings.vm.id}\n${now()}`);
  const state = createGatewayState(settings, createRandom(seed));
  const log = new GatewayLog(createLog(settings.vm.id, settings.logLevel, standardOutput));
  const memory = new MemoryAccount(settings.memoryLimitBytes ?? defaultLimitBytes());
  const metrics = new GatewayMetrics({
    configurationVersion: () => configurationVersion(state.routing),
    endpoints: () => state.directory.endpoints.size,
    peers: () => state.peers.size,
    knownCrashes: () => countKnownCrashes(state.suspects),
    unreportedCrashes: () => Math.max(0, countKnownCrashes(state.suspects) - MAX_REPORTED_CRASHES),
    limitedEndpoints: () => countLimitedEndpoints(state.requestLimits),
    recordedSegments: () => countSegments(state.segmentSuspects, now()).recorded,
    suspectedSegments: () => countSegments(state.segmentSuspects, now()).suspected,
    refusedSegments: () => countSegments(state.segmentSuspects, now()).refused,
    droppedLogLines: () => standardOutput.droppedLines + standardError.droppedLines,
    memoryLimitBytes: () => memory.limitBytes,
    heldBytes: () => memory.bytesByKind,
  });
  const loopDelay = new LoopDelay();
  const connections = new ConnectionTable(() => loopDelay.earliestArrivalAt);
  const roomClock = { now, listenedMs: (since: number) => loopDelay.listenedMs(since) };
  const room: BodyRoom = new BodyRoom(memory, roomClock, (change) =>
    log.change(`memory_${change}`, {
      limitBytes: memory.limitBytes,
      heldBytes: { ...memory.bytesByKind },
      holders: room.listHolders(),
    }),
  );
  const callerConnections = new CallerConnections(loopDelay);
  const crashes = new CrashRecorder(state, metrics, log);
  const publication = new PublicationTask(state, source, crashes, loopDelay, log);
  const peers = new PeerTask(settings, state, publication, log, () => loopDelay.earliestArrivalAt);
  const notifyPeers = () => peers.gossip();
  crashes.onSuspect(() => peers.gossipEarly());
  publication.onUpdate(notifyPeers);
  publication.onReturn(() => metrics.countStoreReturn());
  const origins = new OriginTask(state, peers, source, loopDelay, log);
  publication.onFirstRead((revision) => {
    void origins.readHistory(revision);
  });
  peers.onPeerFound((address) => origins.askForKept(address));
  peers.onSeveralVersions((serviceIds) => origins.sendOwn(serviceIds));
  const terms: EndpointTerms = {
    limits: new LimitRecorder(state, metrics, log),
    departures: new DepartureRecorder(state, log, notifyPeers),
    pauses: new PauseRecorder(state, log),
  };
  const peerLinks = new PeerLinks(state, peers, loopDelay);
  const handleContactChange = () => {
    notifyPeers();
    peerLinks.pingCarriers();
  };
  const contacts = new ContactTask(
    state,
    connections,
    terms,
    loopDelay,
    metrics,
    log,
    handleContactChange,
  );
  const brittle = new BrittleTask(state, loopDelay, log);
  const links = new LateLinkTask(peerLinks, contacts, log);
  const transits = new TransitTask(state, contacts, loopDelay, peerLinks);
  const probes = new ProbeTask(
    state,
    dialect,
    connections,
    crashes,
    terms,
    contacts,
    loopDelay,
    log,
  );
  const liveness = new LivenessTask(state, dialect, connections, terms, loopDelay, metrics, log);
  let currentSettings = settings;
  // Starts anew with the process, whose former trials may still be known to its peers.
  let sequenceNumber = randomInteger(state.random, 2 ** 31);
  const countVms = () => countFleetVms(state, currentSettings.seeds.length, now());
  const context: GatewayContext = {
    state,
    connections,
    dialect,
    log,
    metrics,
    loopDelay,
    callers: callerConnections,
    intake: new IntakeTask(loopDelay, callerConnections, state.random),
    brittle,
    contacts,
    silences: new ServiceSilence(state, connections, contacts),
    links,
    drain: new Drain(settings.graceSeconds * MS_PER_SECOND),
    transits,
    probes,
    liveness,
    origins,
    crashes,
    ...terms,
    buffers: new AnswerBuffers(memory, roomClock),
    room,
    countFleetVms: countVms,
    takeSequenceNumber: () => {
      sequenceNumber += 1;
      return sequenceNumber;
    },
    notifyPeers,
  };
  const { maxDescriptors } = settings;
  const connectionLimits =
    maxDescriptors === undefined ? UNLIMITED : divideDescriptors(maxDescriptors);
  const callerServer = new CallerServer(context, connectionLimits);
  const transitServer = new TransitServer(context);
  const countOpenRequests = () => callerServer.openRequests + transitServer.openRequests;
  peers.setContactReport(() => ({
    heardAt: contacts.listAliveAt(),
    openTransits: transitServer.openRequests,
  }));
  const dump = () => dumpGateway(state, memory, countOpenRequests(), now());

  const readyRequests = new RequestQueue((request, response) => {
    request.resume();
    const isLate =
      links.isLate || loopDelay.isBehind || callerConnections.acceptDelayMs >= MAX_ACCEPT_DELAY_MS;
    const isReady = isServing(state) && !isLate && !callerServer.isFull;
    response.writeHead(isReady ? 200 : 503, { 'content-length': 0 }).end();
  });
  const readiness = createServer((request, response) => readyRequests.add(request, response));
  const controlApi = createLazyControlApi({
    handleCall: (call) => peers.handleCall(call),
    dump,
    renderMetrics: () => metrics.render(),
  });
  const controlRequests = new RequestQueue((request, response) => {
    if (isTransit(request)) transitServer.handle(request, response);
    else controlApi(request, response);
  });
  const control = createServer({ maxHeaderSize: MAX_CONTROL_HEADER_BYTES }, (request, response) =>
    controlRequests.add(request, response),
  );
  callerConnections.watch(control);

  const isRegistered = (id: string) => state.directory.endpoints.has(id);
  const findServiceId = (id: string) => state.directory.endpoints.get(id)?.serviceId;
  let maintenanceCount = 0;
  const maintain = () => {
    const instant = now();
    const standstillMs = loopDelay.beat();
    metrics.observeLoopDelay(Math.max(standstillMs, loopDelay.takeLongestTurnMs()));
    if (standstillMs > MIN_PROCESS_PAUSE_MS) {
      log.warn('process_paused', { pausedMs: Math.round(standstillMs) });
      publication.restart();
    }
    room.maintain();
    context.buffers.maintain();
    maintenanceCount += 1;
    publication.maintain();
    removeStaleDepartures(state.directory, instant);
    contacts.maintain();
    links.maintain();
    brittle.maintain();
    probes.probeEjected();
    terms.departures.takeDueChecks().forEach((id) => probes.probe(id));
    callerServer.applyLimits();
    origins.updateVersions();
    divideRequestLimits(state.requestLimits, findServiceId, currentSettings.seeds.length, instant);
    // The rest is clean-up, which is needed only about once a second.
    if (maintenanceCount % 10 !== 0) return;
    connections.closeRemoved(isRegistered);
    liveness.forgetClosed();
    transits.closeRemoved();
    probes.forgetRemoved(isRegistered);
    dropStaleWork(state.scheduling, isRegistered, instant - PEER_LOAD_EXPIRY_MS, instant);
    const isConfigured = (id: string) => state.routing.configuration?.services.has(id) ?? true;
    removeStaleContacts(state.contacts, isConfigured, instant);
    removeExpiredCrashes(state.suspects, instant);
    removeExpiredTraces(state.suspects, instant);
    removeExpiredSegments(state.segmentSuspects, instant);
    removeExpiredTrials(state.segmentSuspects, instant);
    crashes.removeExplained();
    removeEndedPauses(state.pauses, instant);
    removeExpiredOrigins(state.streamOrigins, instant);
    removeStaleLimits(state.requestLimits, isRegistered, instant);
  };

  let timer: NodeJS.Timeout | undefined;
  const close = () => {
    clearInterval(timer);
    loopDelay.stop();
    publication.stop();
    peers.stop();
    origins.stop();
    callerServer.close();
    transits.stop();
    readiness.close();
    readiness.closeAllConnections();
    control.close();
    control.closeAllConnections();
    connections.closeRemoved(() => false);
    liveness.close();
  };

  const report: WantedAddress['report'] = (event, fields) => log.warn(event, { ...fields });
  const { callers, ready, control: controlAddress } = settings.listen;
  try {
    await openAll(
      [
        (ended) => callerServer.listen({ address: callers, report, signal: ended }),
        (ended) => listen(readiness, { address: ready, report, signal: ended }),
        (ended) => listen(control, { address: controlAddress, report, signal: ended }),
      ],
      signal,
    );
  } catch (error) {
    // Callers may have found their address while another one was waited for.
    await context.drain.run(callerServer, settings.graceSeconds * MS_PER_SECOND);
    close();
    throw error;
  }
  log.change('started', { settings: settings.vm, seeds: settings.seeds });
  publication.start();
  peers.start();
  timer = setInterval(maintain, MAINTENANCE_INTERVAL_MS);

  const stop = () => {
    close();
    const { crossedRequests } = callerServer;
    log.change('stopped', { openRequests: countOpenRequests(), crossedRequests });
  };
  const drain = async (elapsedMs = 0) => {
    state.isLeaving = true;
    log.change('drain_began', { openRequests: countOpenRequests() });
    await context.drain.run(callerServer, elapsedMs);
    stop();
  };
  return {
    state: dump,
    applySettings: (next) => {
      currentSettings = next;
      peers.setSeeds(next.seeds);
      log.change('settings_read', { seeds: next.seeds });
    },
    drain,
    stop,
  };
}
