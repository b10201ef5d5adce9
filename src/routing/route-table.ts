import type { Route, RoutedAccount, RoutedService, RoutingDocument } from './schema.js';

/** Index of a routing document; built once per version and queried for each request. */
export class RouteTable {
  readonly document: RoutingDocument;
  /** Routes of each host, longest prefix first. */
  readonly #routes = new Map<string, Route[]>();
  readonly #accounts = new Map<string, RoutedAccount>();
  readonly #services: ReadonlyMap<string, RoutedService>;

  constructor(document: RoutingDocument) {
    this.document = document;
    this.#services = new Map(document.services.map((service) => [service.name, service]));
    for (const route of document.routes) {
      this.#routes.set(route.host, [...(this.#routes.get(route.host) ?? []), route]);
    }
    for (const routes of this.#routes.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const account of document.accounts ?? []) {
      for (const key of account.keys) {
        this.#accounts.set(key, account);
      }
    }
  }

  /** Whether requests to non-public routes need a key. */
  get needsKeys(): boolean {
    return this.document.accounts !== undefined;
  }

  /** The route with the longest prefix that matches the path. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#routes.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  findAccount(key: string): RoutedAccount | undefined {
    return this.#accounts.get(key);
  }

  findService(name: string): RoutedService | undefined {
    return this.#services.get(name);
  }
}

/** Chooses the service for one request by weight; `fraction` is drawn uniformly from 0 (inclusive) to 1 (exclusive). */
export function chooseService({ targets }: Route, fraction: number): string {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = fraction * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) {
      return service;
    }
  }
  const last = targets.findLast(({ weight }) => weight > 0) ?? targets[0];
  return last?.service ?? '';
}
