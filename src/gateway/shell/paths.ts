import type { ServiceName } from '../../model/index.js';

/** Target of a request to a plain service. */
export interface ServicePath {
  readonly service: ServiceName;
  /** Path and query as sent to the service, with a leading slash. */
  readonly rest: string;
}

/** The route that a method and path match. */
export type RouteMatch =
  | { readonly type: 'live' }
  | { readonly type: 'ready' }
  | { readonly type: 'models' }
  | { readonly type: 'chat' }
  | { readonly type: 'service'; readonly path: ServicePath }
  | { readonly type: 'wrongMethod'; readonly allowed: string }
  | { readonly type: 'unknown' };

const servicePattern = /^\/services\/([a-z0-9-]+)(\/[^?]*)?(\?.*)?$/;

/** Matches method and path of a caller's request. */
export function matchRoute(method: string, url: string): RouteMatch {
  const path = url.split('?', 1)[0] ?? '';
  const service = servicePattern.exec(url);
  if (service !== null) {
    const [, name = '', rest = '/', query = ''] = service;
    return { type: 'service', path: { service: name, rest: `${rest}${query}` } };
  }
  switch (path) {
    case '/livez':
      return { type: 'live' };
    case '/readyz':
      return { type: 'ready' };
    case '/v1/models':
      return method === 'GET' ? { type: 'models' } : { type: 'wrongMethod', allowed: 'GET' };
    case '/v1/chat/completions':
      return method === 'POST' ? { type: 'chat' } : { type: 'wrongMethod', allowed: 'POST' };
    default:
      return { type: 'unknown' };
  }
}
