export { PlatformClient, digestSheet, type SheetText } from './platformClient.js';
export { PlatformTask } from './platformTask.js';
export { LongPoller, drawBackoffMs } from './longPoller.js';
