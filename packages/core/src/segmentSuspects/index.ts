export {
  countClassified,
  countSegmentRefusal,
  isExplainedCrash,
  type CrashTimes,
  recordFailedTrial,
  recordPeerFailedTrial,
  recordPeerSegmentAnswers,
  recordPeerSegmentCrashes,
  recordSegmentAnswer,
  recordSegmentCrash,
  removeExpiredSegments,
  type FailedTrial,
} from './commands.js';
export {
  areAnsweredLately,
  classifySegments,
  countSegments,
  describeSegment,
  describeSegments,
  hasSegmentEvidence,
  type SegmentDescription,
  type SegmentKnowledge,
  type SegmentVerdict,
} from './queries.js';
export {
  MAX_FAILED_TRIALS,
  MAX_SEGMENT_ANSWERS,
  MAX_SEGMENT_CRASHES,
  takeFailedTrials,
  takeSegmentAnswers,
  takeSegmentCrashes,
} from './reports.js';
export {
  createSegmentSuspectState,
  type SegmentAnswer,
  type SegmentCrash,
  type SegmentCrashReport,
  type SegmentHistory,
  type SegmentSuspectState,
  type SegmentTrial,
} from './state.js';
export {
  announceTrial,
  endTrial,
  holdLostTrial,
  MAX_REPORTED_TRIALS,
  recordPeerTrial,
  removeExpiredTrials,
  startTrial,
  takeTrialAnnouncements,
  trialSettleMs,
  type TrialAnnouncement,
} from './trials.js';
