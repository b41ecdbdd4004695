import type {
  Configuration,
  GenerationSize,
  Job,
  RegisteredEndpoint,
  Route,
} from '../../src/index.js';

/** Creates a route with streaming answers to one engine service. */
export function createRoute(changes: Partial<Route>): Route {
  return {
    id: 'drafts',
    host: 'desk.example',
    prefix: '/drafts/',
    repetition: 'streaming',
    isResumable: false,
    isPublic: false,
    priority: 1,
    attempts: 1,
    timeoutMs: 5000,
    targetMs: 500,
    gapTargetMs: 400,
    split: [{ serviceId: 'engines', weight: 1 }],
    ...changes,
  };
}

/** Creates a configuration with one route. */
export function createConfiguration(changes: Partial<Configuration>): Configuration {
  return {
    version: 1,
    routes: [createRoute({})],
    services: new Map(),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    accounts: null,
    ...changes,
  };
}

/** Creates an engine that is ready. */
export function createEndpoint(
  id: string,
  changes: Partial<RegisteredEndpoint> = {},
): RegisteredEndpoint {
  return {
    id,
    serviceId: 'engines',
    address: '127.0.0.1:9000',
    zone: 'zone-a',
    slots: 128,
    state: 'ready',
    startedAt: null,
    version: null,
    ...changes,
  };
}

/** Creates the size of a prefill-bound request that shares the given segment with others. */
export const createDraftSize = (segmentId: string): GenerationSize => ({
  promptTokens: 9000,
  outputTokens: 50,
  segments: [
    { id: 'preamble', tokens: 2500 },
    { id: segmentId, tokens: 3700 },
    { id: 'own', tokens: 2800 },
  ],
});

/** The size of a decode-bound request, of the headline route. */
export const headlineSize: GenerationSize = {
  promptTokens: 800,
  outputTokens: 290,
  segments: [
    { id: 'style', tokens: 120 },
    { id: 'note', tokens: 680 },
  ],
};

/** Creates a prefill-bound job of the draft route. */
export function createJob(changes: Partial<Job> = {}): Job {
  return {
    id: 'request-1',
    routeId: 'drafts',
    serviceId: 'engines',
    priority: 1,
    size: createDraftSize('digest-1'),
    slots: 128,
    kvTokens: 600_000,
    tokensPerEvent: 5,
    targetMs: 500,
    gapTargetMs: 400,
    remainingMs: 5000,
    ...changes,
  };
}
