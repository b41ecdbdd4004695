import type { Decider } from '../decider/index.js';
import type { RouterMetrics } from '../metrics/index.js';
import type { Attainment, DecisionLog } from '../observation/index.js';
import type { AdminTokens } from './roles.js';

/** Dependencies of the admin API. */
export interface AdminContext {
  readonly decider: Decider;
  readonly attainment: Attainment;
  readonly decisions: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly tokens: AdminTokens;
  readonly beginDrain: () => void;
}
