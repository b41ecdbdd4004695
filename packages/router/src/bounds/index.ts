export { discardBody, readBytes, readJson, readText, type AnswerReader } from './answerBytes.js';
export {
  createBoundedAgent,
  createBoundedClient,
  createBoundedPool,
  type BoundedOptions,
} from './boundedClient.js';
export { ByteCollector } from './byteCollector.js';
export { parseBoundedJson } from './boundedJson.js';
export { OversizedAnswerError } from './oversizedAnswerError.js';
