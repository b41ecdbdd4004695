export { AttemptError, toAttemptError } from './attemptError.js';
export { EndpointTasks } from './endpointTasks.js';
export {
  END_OF_STREAM,
  PRIORITY_HEADER,
  REQUEST_ID_HEADER,
  TIMEOUT_HEADER,
  chunkSchema,
  loadReportSchema,
  type Chunk,
} from './engineProtocol.js';
