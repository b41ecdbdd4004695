export { recordSegmentAnswer, recordSegmentCrash, removeExpiredSegments } from './commands.js';
export {
  countSegments,
  describeSegment,
  describeSegments,
  hasSegmentEvidence,
  type SegmentDescription,
  type SegmentKnowledge,
} from './queries.js';
export {
  createSegmentSuspectState,
  type SegmentCrash,
  type SegmentHistory,
  type SegmentSuspectState,
  type SegmentTrial,
} from './state.js';
