import { describe, expect, it } from 'vitest';

import { admitRequest, type AdmissionInput } from '../../src/gateway/direct/index.js';
import { RouteTable } from '../../src/routing/index.js';
import { createDocument, lookupRoute, streamRoute } from '../routing/documents.js';

const table = new RouteTable(
  createDocument({
    routes: [
      streamRoute,
      lookupRoute,
      { ...lookupRoute, name: 'open', pathPrefix: '/open/', isPublic: true },
    ],
  }),
);

function admit(changes: Partial<AdmissionInput>): string {
  const admission = admitRequest({
    table,
    isConfirmed: true,
    host: 'desk.example',
    path: '/lookup/7',
    authorization: 'Bearer key-1',
    timeLimit: undefined,
    fraction: 0,
    ...changes,
  });
  return admission.type === 'refused' ? admission.failure.code : admission.route.name;
}

describe('admission of a request', () => {
  it.each([
    ['a known key', {}, 'lookup'],
    ['a host with a port and capitals', { host: 'Desk.Example:8080' }, 'lookup'],
    ['no key on a public route', { path: '/open/1', authorization: '' }, 'open'],
    ['an unknown key', { authorization: 'Bearer other' }, 'unknownAccount'],
    ['no key', { authorization: '' }, 'unknownAccount'],
    ['a key in another scheme', { authorization: 'Basic key-1' }, 'unknownAccount'],
    ['an unknown path', { path: '/other/' }, 'unknownRoute'],
    ['an unknown host', { host: 'other.example' }, 'unknownRoute'],
    ['no document', { table: undefined }, 'routingUnconfirmed'],
  ])('with %s', (_, changes, expected) => {
    expect(admit(changes)).toBe(expected);
  });

  /**
   * Guards against accepting a revoked key, or reporting a newly added route as unknown, while the gateway is cut off from control and
   * continues with an old document.
   */
  it('refuses as unconfirmed unless the route is public, without a document confirmed by control', () => {
    expect(admit({ isConfirmed: false })).toBe('routingUnconfirmed');
    expect(admit({ isConfirmed: false, authorization: 'Bearer other' })).toBe('routingUnconfirmed');
    expect(admit({ isConfirmed: false, path: '/other/' })).toBe('routingUnconfirmed');
    expect(admit({ isConfirmed: false, path: '/open/1', authorization: '' })).toBe('open');
  });

  /**
   * Guards against callers that retry only to be refused again while control has no quorum: all were told to retry after half a second,
   * but the outage lasts several seconds.
   */
  it.each([
    [6000, 1860],
    [30_000, 2000],
    [100, 200],
    [undefined, 775],
  ])('tells a caller with a time limit of %s ms to retry after %i ms', (timeLimit, expected) => {
    const question = { table: undefined, isConfirmed: false, host: '', path: '/', fraction: 0 };
    const admission = admitRequest({ ...question, authorization: '', timeLimit });
    expect(admission).toMatchObject({ failure: { retryAfterMilliseconds: expected } });
  });
});
