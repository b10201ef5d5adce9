import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { Fleet } from '../support/index.js';

/** Longer than a round of confirmation, shorter than a lease. */
const stallMilliseconds = 400;
const stallCount = 6;

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

// Guards against refusing the callers of the only group because the sidecar of one member stands still for less than a lease.
describe('a member whose sidecar stands still for a moment', () => {
  it('delays the callers of its group, which is the only one, and refuses none', async () => {
    const running = await Fleet.start({ controls: 1, serviceHosts: 0 });
    fleet = running;
    const [, member] = running.list('sidecar');
    const answers: { readonly status: number; readonly text: string }[] = [];
    for (let stall = 0; stall < stallCount; stall += 1) {
      member?.program.signal('SIGSTOP');
      const pending = running.chat();
      await sleep(stallMilliseconds);
      member?.program.signal('SIGCONT');
      const response = await pending;
      answers.push({ status: response.status, text: await response.text() });
      await sleep(stallMilliseconds);
    }
    const refused = answers.filter(({ status }) => status !== 200);
    expect(refused).toEqual([]);
  });
});
