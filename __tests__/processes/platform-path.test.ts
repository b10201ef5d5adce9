import { readFile, writeFile } from 'node:fs/promises';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { PlatformDeployment } from '../platform/deployment.js';
import { waitFor } from '../support/index.js';

let deployment: PlatformDeployment;

beforeAll(async () => {
  deployment = await PlatformDeployment.start(4);
  await waitFor('the first manifest', async () => {
    const { status } = await deployment.callControl(
      0,
      'POST',
      '/Config.Put',
      deployment.manifest(5),
    );
    return status === 200;
  });
});

afterAll(async () => {
  await deployment.stop();
});

function findHeads() {
  return deployment.engines.filter((engine) => engine.isOpen);
}

function listIdentifiers(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

const allIdentifiers = Array.from({ length: 20 }, (_, index) => index + 1);

describe('the programs for the platform, as processes', () => {
  it('form groups from seeds and a manifest, and serve a stream', async () => {
    await waitFor('two open groups', () => findHeads().length === 2);
    await waitFor('a stream', async () => (await deployment.stream('r-0')).status === 200);
    const answer = await deployment.stream('r-1');
    expect(listIdentifiers(answer.body)).toEqual(allIdentifiers);
  });

  it('answer a read at any control host with the newest version, and take older ones without effect', async () => {
    await waitFor('version 9', async () => {
      const text = deployment.manifest(9);
      return (await deployment.callControl(1, 'POST', '/Config.Put', text)).status === 200;
    });
    const older = await deployment.callControl(2, 'POST', '/Config.Put', deployment.manifest(7));
    expect(older.status).toBe(200);
    for (const index of [0, 1, 2]) {
      const { body } = await deployment.callControl(index, 'GET', '/Config.Get');
      expect(body).toBe(deployment.manifest(9));
    }
    const cut = deployment.manifest(11).slice(0, 200);
    expect((await deployment.callControl(0, 'POST', '/Config.Put', cut)).status).toBe(400);
  });

  /**
   * Symptom: streams end in the middle when an engine of a group is lost. The head goes on accepting and nothing moves; the group
   * is closed, the stream goes on at the other group, and the engines that are left form a group again once there are two.
   */
  it('lose no piece of a stream when an engine crashes in the middle', async () => {
    const runsBefore = deployment.engines.flatMap(({ runs }) => runs).length;
    const running = deployment.stream('r-2');
    await waitFor('the stream to run', () => {
      return deployment.engines.flatMap(({ runs }) => runs).length > runsBefore;
    });
    const head = deployment.engines.find(({ runs }) => runs.includes('r-2'));
    const memberId = head?.peers.find((peer) => peer !== head.id);
    await deployment.engines.find(({ id }) => id === memberId)?.crash();
    const answer = await running;
    expect(answer.isWhole).toBe(true);
    expect(listIdentifiers(answer.body)).toEqual(allIdentifiers);
    expect(deployment.engines.flatMap(({ joinsWhileOpen }) => joinsWhileOpen)).toEqual([]);
  });

  /**
   * Symptom: many requests are cut at once and processes start again. Their settings file changed, which SIGHUP says; a process
   * that does not handle that signal ends.
   */
  it('read their settings again on SIGHUP, and serve on', async () => {
    for (const program of deployment.group.programs) {
      program.signal('SIGHUP');
    }
    for (const program of deployment.group.programs) {
      await program.waitForOutput(/"msg":"settings read again"/);
    }
    expect(deployment.group.programs.every(({ isRunning }) => isRunning)).toBe(true);
    expect((await deployment.stream('r-hup')).status).toBe(200);
  });

  it('keep the settings they have when the file is damaged', async () => {
    const [program] = deployment.group.programs;
    const file = deployment.settingsFile(0);
    const text = await readFile(file, 'utf8');
    await writeFile(file, text.slice(0, text.length / 2));
    program?.signal('SIGHUP');
    await program?.waitForOutput(/"msg":"changed settings are wrong, the earlier ones stay"/);
    await writeFile(file, text);
    expect(program?.isRunning).toBe(true);
  });

  it('go on serving and keep what was accepted when the leader of control is killed', async () => {
    const leader = deployment.findLeader();
    expect(leader).toBeGreaterThanOrEqual(0);
    deployment.killControl(leader);
    const other = (leader + 1) % 3;
    const read = await waitFor('a read from another control host', async () => {
      const result = await deployment.callControl(other, 'GET', '/Config.Get');
      return result.status === 200 ? result : undefined;
    });
    expect(read.body).toBe(deployment.manifest(9));
    const answer = await waitFor('a stream after the kill', async () => {
      const result = await deployment.stream('r-3');
      return result.status === 200 ? result : undefined;
    });
    expect(listIdentifiers(answer.body)).toEqual(allIdentifiers);
    deployment.restartControl(leader);
    await waitFor('the killed control host to answer again', async () => {
      return (await deployment.callControl(leader, 'GET', '/Config.Get')).status === 200;
    });
  });

  /**
   * Symptom: control refuses changes although two of three hosts are well. One was replaced for good by an empty host at another
   * address, which nobody took into the log; then one more was lost.
   */
  it('take a replaced control host into the log, so that another one can be lost', async () => {
    deployment.killControl(0);
    await deployment.startControl(3);
    await waitFor('the new control host to answer reads', async () => {
      return (await deployment.callControl(3, 'GET', '/Config.Get')).status === 200;
    });
    await waitFor('the silent one to be taken out', () => {
      return deployment.group.programs.some(({ output }) => {
        return output.includes('silent control host taken out of the log');
      });
    });
    deployment.killControl(1);
    await waitFor('a change with the two that are left', async () => {
      const text = deployment.manifest(13);
      return (await deployment.callControl(3, 'POST', '/Config.Put', text)).status === 200;
    });
    expect((await deployment.callControl(2, 'GET', '/Config.Get')).body).toBe(
      deployment.manifest(13),
    );
  });
});
