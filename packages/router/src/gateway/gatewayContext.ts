import type { BodyRoom } from '../memory/index.js';
import type { AnswerBuffers } from './answerBuffers.js';
import type { CallerConnections } from './callerConnections.js';
import type { BrittleTask } from './brittleTask.js';
import type { ConnectionTable } from './connectionTable.js';
import type { ContactTask } from './contactTask.js';
import type { CrashRecorder } from './crashRecorder.js';
import type { Dialect } from './dialect.js';
import type { Drain } from './drain.js';
import type { EndpointTerms } from './endpointTerms.js';
import type { GatewayLog } from './gatewayLog.js';
import type { GatewayMetrics } from './gatewayMetrics.js';
import type { GatewayState } from './gatewayState.js';
import type { IntakeTask } from './intakeTask.js';
import type { LateLinkTask } from './lateLinkTask.js';
import type { LivenessTask } from './livenessTask.js';
import type { LoopDelay } from './loopDelay.js';
import type { OriginTask } from './originTask.js';
import type { ProbeTask } from './probeTask.js';
import type { ServiceSilence } from './serviceSilence.js';
import type { TransitTask } from './transitTask.js';

/** State and services that the exchanges of a gateway share. */
export interface GatewayContext extends EndpointTerms {
  readonly state: GatewayState;
  readonly connections: ConnectionTable;
  readonly dialect: Dialect;
  readonly log: GatewayLog;
  readonly metrics: GatewayMetrics;
  readonly loopDelay: LoopDelay;
  readonly callers: CallerConnections;
  readonly intake: IntakeTask;
  readonly brittle: BrittleTask;
  readonly contacts: ContactTask;
  readonly silences: ServiceSilence;
  readonly links: LateLinkTask;
  readonly drain: Drain;
  readonly transits: TransitTask;
  readonly probes: ProbeTask;
  readonly liveness: LivenessTask;
  readonly origins: OriginTask;
  readonly crashes: CrashRecorder;
  readonly buffers: AnswerBuffers;
  readonly room: BodyRoom;
  /** Number of VMs that share the limits of the fleet. */
  readonly countFleetVms: () => number;
  /** Returns a number that no other request of this process has got. */
  readonly takeSequenceNumber: () => number;
  /** Sends this VM's news to its peers at once. */
  readonly notifyPeers: () => void;
}
