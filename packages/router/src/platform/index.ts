export { PlatformClient, digestSheet, type SheetText } from './platformClient.js';
export { PlatformTask } from './platformTask.js';
export { Watcher, drawBackoffMs } from './longPoller.js';
