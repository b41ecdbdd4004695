import common from './ava.config.js';
import { processSpecs } from './ava.processes.config.js';
import { socketSpecs } from './ava.sockets.config.js';

/** All other specs: they need processor time, and no event loop or process to be on time. */
export default {
  ...common,
  files: [...common.files, ...[...socketSpecs, ...processSpecs].map((spec) => `!${spec}`)],
};
