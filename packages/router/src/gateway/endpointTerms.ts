import type { DepartureRecorder } from './departureRecorder.js';
import type { LimitRecorder } from './limitRecorder.js';
import type { PauseRecorder } from './pauseRecorder.js';

/** What endpoints say in their answers of the requests that they want. */
export interface EndpointTerms {
  readonly limits: LimitRecorder;
  readonly departures: DepartureRecorder;
  readonly pauses: PauseRecorder;
}
