import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createPlainManifest } from '../platform/plain-manifest.js';
import { RelayedControl, type CallOutcome } from '../platform/relayed-control.js';
import { waitFor } from '../support/index.js';

/** Time in milliseconds after which hosts that reach each other again have to answer as before. */
const contactLimit = 3000;
/** How long callers go on asking each host after that. */
const observation = 4000;
const readInterval = 250;
/** Each round may elect another leader, to which a host has no connection yet; a few of them meet an old one. */
const rounds = 5;

let control: RelayedControl;
let heartbeats: AbortController;

/** Reads at every host again and again, like operators that do not wait for each other. */
async function readForAWhile(): Promise<readonly CallOutcome[]> {
  const reads: Promise<CallOutcome>[] = [];
  const end = performance.now() + observation;
  while (performance.now() < end) {
    for (let host = 0; host < control.hostCount; host += 1) {
      reads.push(control.read(host));
    }
    await sleep(readInterval);
  }
  return Promise.all(reads);
}

beforeEach(async () => {
  control = await RelayedControl.start();
  heartbeats = new AbortController();
  await control.put(createPlainManifest(1, ['lookup']));
});

afterEach(async () => {
  heartbeats.abort();
  await control.stop();
});

/** Reads at every host at the same time. */
function readOnce(): Promise<readonly CallOutcome[]> {
  return Promise.all(Array.from({ length: control.hostCount }, (_, host) => control.read(host)));
}

function isManifest(read: CallOutcome): boolean {
  return read.type === 'answered' && read.status === 200;
}

async function waitForReads(): Promise<void> {
  await waitFor('reads at every host', async () => (await readOnce()).every(isManifest));
}

describe('control hosts whose open connections to each other went silent', () => {
  // Guards against calls to the leader that wait on a silent connection until each of them times out, for minutes.
  it('answer reads at every host again', async () => {
    void control.sendHeartbeats(heartbeats.signal);
    await waitForReads();
    await control.silenceConnections();
    await sleep(contactLimit);
    const silent = (await readForAWhile()).filter((read) => read.type === 'silence');
    expect(silent).toHaveLength(0);
  });

  // Guards against a first read that finds out that the connection is silent and leaves its caller without an answer.
  it('answer the first read at every host', async () => {
    for (let round = 0; round < rounds; round += 1) {
      await waitForReads();
      await control.silenceConnections();
      await sleep(contactLimit);
      expect((await readOnce()).filter((read) => !isManifest(read))).toHaveLength(0);
    }
  });
});
