export type * from './attempt.js';
export type * from './heartbeat.js';
export type * from './order.js';
export type * from './peerCall.js';
export type * from './report.js';
export type * from './request.js';
export { accountSchema, type Account } from './account.js';
export { classSchema, latencyTargetSchema, type Class, type LatencyTarget } from './class.js';
export {
  endpointSchema,
  engineSchema,
  serviceSchema,
  type Endpoint,
  type Engine,
  type Service,
} from './endpoint.js';
export { limitSchema, type Limit } from './limit.js';
export { modelSchema, type Model } from './model.js';
export { refusalCodes, type Refusal, type RefusalCode } from './refusal.js';
export {
  manifestSchema,
  sheetNames,
  sheetSchemas,
  tableSchema,
  type Manifest,
  type SheetName,
  type SheetPosition,
  type Table,
} from './table.js';
export { tierRank, tiers, type Tier } from './tier.js';
export { worstVerdict, type Verdict } from './verdict.js';
export { listLiveVms, listVmsNear, vmListSchema, vmSchema, type Vm, type VmList } from './vm.js';
