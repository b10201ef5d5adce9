/** Manifests of a small installation: one plain service, two kinds of request, tenants with keys, and as many further routes as wanted. */

export const host = 'desk.example';
export const service = 'desk';

export const paths = { once: '/renew/', again: '/status/' };

/** `keys`: keys of each tenant. `moreRoutes`: routes that no client uses. */
export function createManifest({ version, keys, moreRoutes = 0, mark = '' }) {
  const common = { host, service, slo_ms: 400, priority: 2, public: false, sticky: false };
  const routes = [
    {
      ...common,
      name: 'renew',
      path_prefix: paths.once,
      kind: 'non_idempotent',
      timeout_ms: 8000,
      attempts: 2,
    },
    {
      ...common,
      name: 'status',
      path_prefix: paths.again,
      kind: 'idempotent',
      timeout_ms: 8000,
      attempts: 2,
    },
    ...Array.from({ length: moreRoutes }, (_, index) => ({
      ...common,
      name: `r-${spell(index)}${mark}`,
      host: `${spell(index * 7 + 3)}.example`,
      path_prefix: `/${spell(index * 13 + 5)}/`,
      kind: 'idempotent',
      timeout_ms: 1500,
      attempts: 2,
    })),
  ];
  return {
    version,
    routes,
    services: [
      { name: service, health_path: '/healthz', max_conns: 130, protocol: 'h1', tls: false },
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

/** A name of seven characters that looks drawn by lot, the same for the same number. */
function spell(number) {
  let state = (number + 1) * 2_654_435_761;
  return Array.from({ length: 7 }, () => {
    state = (Math.imul(state, 1_103_515_245) + 12_345) >>> 0;
    return 'abcdefghijklmnopqrstuvwxyz0123456789'[(state >>> 8) % 36];
  }).join('');
}
