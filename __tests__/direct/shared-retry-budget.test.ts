import { describe, expect, it } from 'vitest';

import { SharedRetryBudget } from '../../src/gateway/direct/index.js';

const share = 0.2;
const burst = 264;
const service = 'engines';

/** Counts the retries of all gateways if each of their requests needs one. */
function repeatAll(gateways: readonly SharedRetryBudget[], requests: number): number {
  let repeats = 0;
  for (let request = 0; request < requests; request += 1) {
    const gateway = gateways[request % gateways.length];
    gateway?.noteRequest(service);
    repeats += gateway?.spend(service) === true ? 1 : 0;
  }
  return repeats;
}

function spendAll(gateway: SharedRetryBudget): number {
  let repeats = 0;
  while (gateway.spend(service)) {
    repeats += 1;
  }
  return repeats;
}

describe('the retry limit that gateways share', () => {
  // Guards against more retries than all gateways together may make. After every process is killed and restarted, no group serves well, and
  // each request is refused once. Each gateway started with its part of the burst as if only a few shared it, before control could report
  // their number, and regardless of what it had spent before it was killed.
  it.each([2, 9, 46, 200])('holds for %s gateways that start together', (count) => {
    const gateways = Array.from({ length: count }, () => new SharedRetryBudget({ share, burst }));
    const requests = 100 * count;
    expect(repeatAll(gateways, requests)).toBeLessThanOrEqual(share * requests + burst);
  });

  it.each([2, 9, 46, 200])('allows %s gateways the burst once they know their number', (count) => {
    const gateways = Array.from({ length: count }, () => new SharedRetryBudget({ share, burst }));
    gateways.forEach((gateway) => {
      gateway.shareWith(count);
    });
    // Enough requests without a retry for each gateway to earn its part.
    const requests = Math.ceil(burst / share) * 2;
    for (let request = 0; request < requests; request += 1) {
      gateways[request % count]?.noteRequest(service);
    }
    const repeats = gateways.reduce((sum, gateway) => sum + spendAll(gateway), 0);
    expect(repeats).toBeLessThanOrEqual(burst);
    // The remaining fraction of a retry at each gateway cannot be spent.
    expect(repeats).toBeGreaterThan(burst - count);
  });

  it('removes the excess of a gateway when more gateways share the limit', () => {
    const gateway = new SharedRetryBudget({ share, burst });
    gateway.shareWith(1);
    for (let request = 0; request < burst / share; request += 1) {
      gateway.noteRequest(service);
    }
    gateway.shareWith(264);
    expect(spendAll(gateway)).toBe(1);
  });
});
