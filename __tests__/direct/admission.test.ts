import { describe, expect, it } from 'vitest';

import { admitRequest, type AdmissionQuestion } from '../../src/gateway/direct/index.js';
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

function admit(changes: Partial<AdmissionQuestion>): string {
  const admission = admitRequest({
    table,
    isVouched: true,
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
   * Symptom: a key that was taken away still works. The gateway is cut off from control and goes on with the document it has; or
   * it calls a route unknown that was added since.
   */
  it('says nothing of keys and routes without a document that control vouches for', () => {
    expect(admit({ isVouched: false })).toBe('routingUnconfirmed');
    expect(admit({ isVouched: false, authorization: 'Bearer other' })).toBe('routingUnconfirmed');
    expect(admit({ isVouched: false, path: '/other/' })).toBe('routingUnconfirmed');
    expect(admit({ isVouched: false, path: '/open/1', authorization: '' })).toBe('open');
  });

  /**
   * Symptom: while control has no quorum, callers come back only to be refused again. All were told half a second, and the outage
   * lasts some seconds.
   */
  it.each([
    [6000, 1860],
    [30_000, 2000],
    [100, 200],
    [undefined, 775],
  ])('tells a caller that waits for %s ms to come back after %i ms', (timeLimit, expected) => {
    const question = { table: undefined, isVouched: false, host: '', path: '/', fraction: 0 };
    const admission = admitRequest({ ...question, authorization: '', timeLimit });
    expect(admission).toMatchObject({ failure: { retryAfterMilliseconds: expected } });
  });
});
