/** Host of all routes. */
export const HOST = 'dealers.example';

/** Limits on what clients may send, as the site's configuration has them. */
const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 4194304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

/** A plain service and a service of engines, with the figures of the site file. */
export const DESK = { name: 'dealer-desk', health_path: '/health', max_conns: 96 };
export const ENGINES = {
  name: 'stock-llm',
  health_path: '/health',
  max_conns: 610,
  engine: { slots: 128, kv_tokens: 522791, stride: 6 },
};

/** Returns a route that needs no key. */
export function createRoute(name, kind, service, fields) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    service: service.name,
    priority: 0,
    attempts: 1,
    public: true,
    ...fields,
  };
}

/** Returns the operator's first configuration. */
export function createConfiguration(routes, services, fields = {}) {
  return { version: 3, routes, services, limits: LIMITS, ...fields };
}
