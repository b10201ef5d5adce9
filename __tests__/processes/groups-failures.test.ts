import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { waitFor } from '../support/index.js';
import { GroupDeployment } from './groups-deployment.js';

/** Groups of real sidecars and engines that are killed, stopped and restarted. */

const hosts = ['bole-1', 'bole-2', 'bole-3', 'bole-4', 'bole-5'];

describe('groups of real processes', () => {
  let deployment: GroupDeployment;

  beforeEach(async () => {
    deployment = await GroupDeployment.start({ hosts, replicaSize: 3 });
  });

  afterEach(async () => {
    await deployment.stop();
  });

  it('serves again with a spare after a member was killed', async () => {
    // Symptom: a replica dead for good after one host died. Sequence: SIGKILL of a member's sidecar and engine. Expected: another
    // placement with a higher fencing number serves; no request is answered by the old one meanwhile.
    const before = await deployment.waitForServing('the first group');
    await deployment.waitForAnswer();
    const victim = before.members[1] ?? '';
    deployment.find(victim).sidecar.signal('SIGKILL');
    deployment.find(victim).engine.signal('SIGKILL');
    const after = await deployment.waitForServing(
      'a group without the victim',
      (group) => !group.members.includes(victim),
    );
    expect(after.fencingNumber).toBeGreaterThan(before.fencingNumber);
    await deployment.waitForAnswer();
  });

  it('serves again when the lead was killed', async () => {
    const before = await deployment.waitForServing('the first group');
    const lead = before.members[0] ?? '';
    deployment.find(lead).sidecar.signal('SIGKILL');
    await deployment.waitForServing(
      'a group without the lead',
      (group) => !group.members.includes(lead),
    );
    await deployment.waitForAnswer();
  });

  it('keeps a member that was stopped and goes on out of the group that replaced its own', async () => {
    // Symptom: a host in two groups after a pause. Sequence: SIGSTOP of a member, a spare takes its place, SIGCONT.
    // Expected: the returned host is a spare.
    const before = await deployment.waitForServing('the first group');
    const victim = before.members[2] ?? '';
    deployment.find(victim).sidecar.signal('SIGSTOP');
    const after = await deployment.waitForServing(
      'a group without the victim',
      (group) => !group.members.includes(victim),
    );
    deployment.find(victim).sidecar.signal('SIGCONT');
    await waitFor('the victim to be heard again', async () =>
      (await deployment.hosts()).find((host) => host.host === victim && host.isPresent),
    );
    const groups = await deployment.groups();
    expect(groups.map(({ fencingNumber }) => fencingNumber)).toContain(after.fencingNumber);
    expect(groups.flatMap(({ members }) => members)).not.toContain(victim);
    await deployment.waitForAnswer();
  });

  it('lets a lead that was stopped and goes on serve nothing', async () => {
    // Symptom: two groups that share hosts serve. Sequence: SIGSTOP of the lead, its members join another placement, SIGCONT.
    const before = await deployment.waitForServing('the first group');
    const lead = before.members[0] ?? '';
    deployment.find(lead).sidecar.signal('SIGSTOP');
    await deployment.waitForServing(
      'a group without the lead',
      (group) => !group.members.includes(lead),
    );
    deployment.find(lead).sidecar.signal('SIGCONT');
    await waitFor('the lead to be heard again', async () =>
      (await deployment.hosts()).find((host) => host.host === lead && host.isPresent),
    );
    for (let request = 0; request < 5; request += 1) {
      expect((await deployment.waitForAnswer()).status).toBe(200);
    }
    expect((await deployment.groups()).flatMap(({ members }) => members)).not.toContain(lead);
  });

  it('replaces a member whose engine died under a sidecar that lives', async () => {
    const before = await deployment.waitForServing('the first group');
    const victim = before.members[1] ?? '';
    deployment.find(victim).engine.signal('SIGKILL');
    await deployment.waitForServing(
      'a group without the victim',
      (group) => !group.members.includes(victim),
    );
    await deployment.waitForAnswer();
  });

  it('stops a member without cutting off what its group has in flight', async () => {
    // Symptom: answers that break off at a planned stop. Sequence: SIGTERM of a member while the group answers; the member is not
    // the lead. Expected: the answer is whole, the process ends by itself, the group forms again without it.
    const before = await deployment.waitForServing('the first group');
    await deployment.waitForAnswer();
    const answer = await deployment.askForStream(150);
    await answer.readEvents(1);
    const leaving = before.members[2] ?? '';
    const { sidecar } = deployment.find(leaving);
    sidecar.signal('SIGTERM');
    await answer.readEvents(100);
    expect(sidecar.isRunning).toBe(true);
    expect(await answer.readEvents(Infinity)).toMatch(/data: \[DONE\]\s*$/);
    expect((await sidecar.waitForExit()).code).toBe(0);
    await deployment.waitForServing(
      'a group without the leaving host',
      (group) => !group.members.includes(leaving),
    );
    await deployment.waitForAnswer();
  });

  it('exchanges the version under load without cutting off a request', async () => {
    await deployment.waitForServing('the first group');
    await deployment.waitForAnswer();
    const answers = Array.from({ length: 8 }, () => deployment.ask(100));
    await deployment.declare({ version: '2' });
    await deployment.waitForServing(
      'a group of version 2',
      ({ offer }) => offer.type === 'model' && offer.artifact.version === '2',
    );
    for (const { status } of await Promise.all(answers)) {
      expect([200, 503]).toContain(status);
    }
    await deployment.waitForAnswer();
  });

  it('moves a host out of its group when its label changes', async () => {
    const before = await deployment.waitForServing('the first group');
    const moved = before.members[1] ?? '';
    await deployment.label(moved, { pool: 'other' });
    await deployment.waitForServing(
      'a group without the moved host',
      (group) => !group.members.includes(moved),
    );
    await deployment.waitForAnswer();
  });
});
