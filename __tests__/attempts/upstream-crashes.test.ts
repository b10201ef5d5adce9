import { describe, expect, it } from 'vitest';

import type { ProbeVerdict } from '../../src/common/index.js';
import { UpstreamCrashes } from '../../src/sidecar/attempts/index.js';

function createCrashes(verdict: ProbeVerdict): {
  readonly crashes: UpstreamCrashes;
  readonly setTime: (time: number) => void;
} {
  let now = 0;
  const crashes = new UpstreamCrashes({
    incarnation: 'one',
    probe: () => Promise.resolve(verdict),
    readTime: () => now,
  });
  return {
    crashes,
    setTime: (time) => {
      now = time;
    },
  };
}

// Guards against crashes that count as one because the upstream never got as far as a response in between.
describe('crashes of the local upstream', () => {
  it('are the same for all requests that it had in hand, and another one for those sent later', async () => {
    const { crashes, setTime } = createCrashes('refused');
    setTime(100);
    expect(await crashes.find(10)).toBe('one/1');
    expect(await crashes.find(90)).toBe('one/1');
    setTime(600);
    expect(await crashes.find(500)).toBe('one/2');
    expect(await crashes.find(510)).toBe('one/2');
  });

  it.each(['accepted', 'unanswered'] as const)('are none if a probe is %s', async (verdict) => {
    expect(await createCrashes(verdict).crashes.find(10)).toBeUndefined();
  });
});
