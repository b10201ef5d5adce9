/** Manifests of a small installation: one plain service, two kinds of request, and tenants with keys. */

export const host = 'desk.example';
export const service = 'desk';

export const paths = { once: '/renew/', again: '/status/' };

/** In milliseconds. */
export const timeouts = { once: 8000, again: 1500 };

/** `keys`: keys of each tenant. */
export function createManifest({ version, keys }) {
  const common = { host, service, slo_ms: 400, priority: 2, public: false, sticky: false };
  const routes = [
    {
      ...common,
      name: 'renew',
      path_prefix: paths.once,
      kind: 'non_idempotent',
      timeout_ms: timeouts.once,
      attempts: 2,
    },
    {
      ...common,
      name: 'status',
      path_prefix: paths.again,
      kind: 'idempotent',
      timeout_ms: timeouts.again,
      attempts: 2,
    },
  ];
  return {
    version,
    routes,
    services: [
      { name: service, health_path: '/healthz', max_conns: 220, protocol: 'h1', tls: false },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: Object.entries(keys).map(([name, api_keys]) => ({ name, api_keys, priority: 1 })),
  };
}
