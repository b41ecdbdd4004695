import {
  classSchema,
  type Class,
  type Request,
  type SelectionContext,
  type Tier,
} from '../src/index.js';

/** Creates a class with default targets. */
export function createClass(
  id: string,
  tier: Tier,
  fields: Partial<Omit<Class, 'id' | 'tier'>> = {},
): Class {
  const target = { firstTokenMs: 300, betweenTokensMs: 30, wholeMs: 5000 };
  return classSchema.parse({ id, tier, target, share: 0.1, ...fields });
}

/** Creates a request of a class. */
export function createRequest(id: string, classId: string, fields: Partial<Request> = {}): Request {
  return {
    id,
    classId,
    accountId: 'station-1',
    pool: 'model:small',
    arrivedAt: 0,
    deadline: 5000,
    promptTokens: 10,
    maxOutputTokens: 100,
    prefixes: [],
    repeatable: true,
    key: null,
    fingerprint: id,
    ...fields,
  };
}

/** Creates a selection context in which every tier has capacity and no request is urgent. */
export function createSelectionContext(
  rows: readonly Class[],
  fields: Partial<SelectionContext> = {},
): SelectionContext {
  return {
    classes: new Map(rows.map((row) => [row.id, row])),
    now: 0,
    hasCapacity: () => true,
    shareFactor: () => 1,
    isUrgent: () => false,
    ...fields,
  };
}
