/** A manifest of a plain service with a route for each name; the path of a route is its name. */
export function createPlainManifest(version: number, names: readonly string[]): string {
  const route = { host: 'desk.example', kind: 'idempotent', timeout_ms: 2000, attempts: 2 };
  return JSON.stringify({
    version,
    routes: names.map((name) => ({ ...route, name, path_prefix: `/${name}/`, service: 'desk' })),
    services: [{ name: 'desk', max_conns: 100 }],
  });
}
