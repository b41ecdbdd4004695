export {
  createBoundedAgent,
  createBoundedPool,
  discardBody,
  OversizedAnswerError,
  parseBoundedJson,
  readBytes,
} from '../bounds/index.js';
export { createGateway, type Gateway } from './gateway.js';
export type {
  AnswerMetadata,
  Dialect,
  ForwardedMetadata,
  NamedLimit,
  RequestMetadata,
  ReportedLoad,
} from './dialect.js';
export { dropHeaders, findHeader } from './headers.js';
export {
  HistoryLostError,
  type PublicationPart,
  type PublicationSource,
  type PublishedEntry,
  type PublicationBatch,
} from './publication.js';
export {
  gatewaySettingsSchema,
  loadGatewaySettings,
  parseGatewaySettings,
  type GatewaySettings,
} from './settings.js';
