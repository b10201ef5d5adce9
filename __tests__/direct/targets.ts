import type { Target } from '../../src/dispatch/index.js';

export function createTarget(key: string): Target {
  return {
    key,
    service: 'engines',
    isGroup: true,
    failureDomain: undefined,
    instance: { id: `i-${key}` },
    address: '10.0.0.1:1',
    slots: 24,
  };
}
