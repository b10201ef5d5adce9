import { describe, expect, it } from 'vitest';

import { findConnectionLimit } from '../../src/gateway/direct/index.js';
import { engineProfile } from '../routing/documents.js';

// Guards against a gateway that gets most of the requests for a while and cannot fill a group, because each has its share of connections.
describe('the connections of a gateway to an upstream', () => {
  const engine = { ...engineProfile, slots: 48 };

  it.each([
    ['enough for all slots of a group', 540, engine, 21, 48],
    ['an equal share if that is more', 540, engine, 6, 90],
    ['never more than half of what a group accepts', 60, engine, 21, 30],
    ['an equal share of what an instance accepts', 220, undefined, 21, 10],
  ])('are %s', (_, maximumConnections, profile, gateways, expected) => {
    const base = { name: 'any', maximumConnections };
    const service = profile === undefined ? base : { ...base, engine: profile };
    expect(findConnectionLimit(service, gateways)).toBe(expected);
  });
});
