import { setTimeout as sleep } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { Fleet, waitFor } from '../support/index.js';
import { FaultLoad } from './fault-load.js';
import { findLeader, readInForce, waitForGroups, waitForInForce } from './fleet-views.js';

/**
 * Processes that are killed, frozen and stopped while callers go on.
 * Two groups of four hosts and two plain services are placed: four placements serve when all is well.
 */

const placements = 4;
/** Longer than a lease and than control takes to miss a host. */
const frozenMilliseconds = 4000;

let fleet: Fleet;
let load: FaultLoad;

beforeEach(async () => {
  fleet = await Fleet.start({ controls: 3, gateways: 2, engineHosts: 8, serviceHosts: 2 });
  await waitForGroups(fleet, placements);
  load = new FaultLoad(fleet);
  await waitForAnswers();
});

afterEach(async () => {
  try {
    await load.stop();
  } finally {
    await fleet.stop();
  }
});

/** Each kind of caller gets another whole answer. */
async function waitForAnswers(): Promise<void> {
  const [chats, keys] = [load.chats.length, load.keys.length];
  await waitFor('callers to be answered', () => {
    const isChatAnswered = load.chats.slice(chats).some(({ row }) => row?.number === 0);
    const newKeys = load.keys.slice(keys);
    return isChatAnswered && newKeys.some(({ outcomes }) => outcomes.at(-1)?.row?.number === 0);
  });
}

/** Makes a change, causes the fault, and checks what must hold once it is over. */
async function expectPromisesAcross(fault: () => Promise<void>): Promise<void> {
  const change = await fleet.runCommand(['label', 'sidecar-desk-1', 'note=1']);
  expect(change.exit.code).toBe(0);
  const { revision } = await readInForce(fleet);
  await fault();
  await waitForGroups(fleet, placements);
  await waitForAnswers();
  const after = await waitForInForce(fleet, revision);
  expect(after.revision).toBe(revision);
  await load.stop();
  expect(load.listFaults()).toEqual([]);
  const services = fleet.list('service').map(({ address }) => address);
  expect(await load.listMiscounts(services)).toEqual([]);
}

async function findMember(rank: number): Promise<string> {
  const groups = await waitForGroups(fleet, placements);
  const member = groups.find(({ members }) => members.length === 4)?.members[rank];
  return member ?? expect.fail('no group of four hosts');
}

async function crashAndRestart(name: string): Promise<void> {
  const { program } = fleet.member(name);
  program.signal('SIGKILL');
  await program.waitForExit();
  fleet.start(name);
}

describe('callers, groups and configuration', () => {
  /*
   * Symptom: calls with a key run twice, or an accepted change is gone, after a control host died.
   * Sequence: claims and reports are under way; SIGKILL of the leader; another one is elected; the first comes back.
   * Cause: an answer before the quorum had synced, or a new leader that takes every host for lost.
   */
  it('outlive the control leader', async () => {
    await expectPromisesAcross(async () => {
      const leader = await findLeader(fleet);
      fleet.member(leader).program.signal('SIGKILL');
      await waitFor('another leader', async () => (await findLeader(fleet)) !== leader);
      await waitForAnswers();
      fleet.start(leader);
    });
  });

  /*
   * Symptom: a group never serves again after one of its hosts was frozen.
   * Sequence: SIGSTOP of a member's sidecar for longer than a lease; SIGCONT; it goes on as if nothing had happened.
   * Cause: connections that lead and member both believe in, and old reports that overtake newer ones.
   */
  it('outlive a frozen member', async () => {
    await expectPromisesAcross(async () => {
      const { program } = fleet.member(await findMember(2));
      program.signal('SIGSTOP');
      await sleep(frozenMilliseconds);
      program.signal('SIGCONT');
    });
  });

  /*
   * Symptom: two leads under one fencing number, or a group that waits for a lead that has forgotten it.
   * Sequence: SIGKILL of a lead's sidecar; it starts again at once, within the lease of its first life.
   * Cause: memory of the first life that members, control or gateways hold against the second.
   */
  it('outlive a lead that is killed and started again', async () => {
    await expectPromisesAcross(async () => crashAndRestart(await findMember(0)));
  });

  /*
   * Symptom: answers of a group are cut off when one of its hosts is upgraded.
   * Sequence: SIGTERM to a member's sidecar under load; it leaves; it is started again.
   * Cause: a member that takes back its lease before the lead has finished.
   */
  it('outlive a member that is stopped as planned', async () => {
    await expectPromisesAcross(async () => {
      const name = await findMember(1);
      const { program } = fleet.member(name);
      program.signal('SIGTERM');
      expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
      expect(load.chats.filter(({ row }) => row?.outcome === 'unknown')).toEqual([]);
      fleet.start(name);
    });
  });

  /*
   * Symptom: half answers that look whole, or a group placed on a host whose engine has loaded nothing.
   * Sequence: SIGKILL of the engine beside a lead; it starts again, empty.
   * Cause: the end of the engine's connection taken for the end of the answer; loads believed from before the crash.
   */
  it('outlive an engine that is killed and started again', async () => {
    await expectPromisesAcross(async () => {
      const lead = await findMember(0);
      await crashAndRestart(lead.replace('sidecar', 'engine'));
    });
  });

  /*
   * Symptom: a call with a key runs twice.
   * Sequence: calls are in flight; SIGKILL of a plain service's sidecar; callers send the same keys again through the other gateway.
   * Cause: a broken connection taken for "not run".
   */
  it('outlive the sidecar of a plain service', async () => {
    await expectPromisesAcross(() => crashAndRestart('sidecar-desk-1'));
  });
});
