import { describe, expect, it } from 'vitest';

import { SharedRepeatBudget } from '../../src/gateway/direct/index.js';

const share = 0.2;
const burst = 264;
const service = 'engines';

/** Repeats of all gateways while each of their requests would need one. */
function repeatAll(gateways: readonly SharedRepeatBudget[], requests: number): number {
  let repeats = 0;
  for (let request = 0; request < requests; request += 1) {
    const gateway = gateways[request % gateways.length];
    gateway?.noteRequest(service);
    repeats += gateway?.spend(service) === true ? 1 : 0;
  }
  return repeats;
}

function spendAll(gateway: SharedRepeatBudget): number {
  let repeats = 0;
  while (gateway.spend(service)) {
    repeats += 1;
  }
  return repeats;
}

describe('the bound on repeats that gateways share', () => {
  // Symptom: upstreams get more repeats than all gateways together may make. Sequence: every process is killed; as they come back no
  // group serves well, and each request is turned away once. Cause: each gateway began with its part of the burst as if a few shared it,
  // before control could say how many there are, and whatever it had spent before it was killed.
  it.each([2, 9, 46, 200])('holds for %s gateways that start together', (count) => {
    const gateways = Array.from({ length: count }, () => new SharedRepeatBudget({ share, burst }));
    const requests = 100 * count;
    expect(repeatAll(gateways, requests)).toBeLessThanOrEqual(share * requests + burst);
  });

  it.each([2, 9, 46, 200])(
    'lets %s gateways have the burst once they know their number',
    (count) => {
      const gateways = Array.from(
        { length: count },
        () => new SharedRepeatBudget({ share, burst }),
      );
      gateways.forEach((gateway) => {
        gateway.shareWith(count);
      });
      // Long enough without a repeat for each of them to earn its part.
      const requests = Math.ceil(burst / share) * 2;
      for (let request = 0; request < requests; request += 1) {
        gateways[request % count]?.noteRequest(service);
      }
      const repeats = gateways.reduce((sum, gateway) => sum + spendAll(gateway), 0);
      expect(repeats).toBeLessThanOrEqual(burst);
      // What is left of less than one repeat at each gateway cannot be spent.
      expect(repeats).toBeGreaterThan(burst - count);
    },
  );

  it('takes back what is beyond the part of a gateway when more of them share it', () => {
    const gateway = new SharedRepeatBudget({ share, burst });
    gateway.shareWith(1);
    for (let request = 0; request < burst / share; request += 1) {
      gateway.noteRequest(service);
    }
    gateway.shareWith(264);
    expect(spendAll(gateway)).toBe(1);
  });
});
