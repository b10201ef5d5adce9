import { setTimeout as pause } from 'node:timers/promises';

import { afterEach, describe, expect, it } from 'vitest';

import { Fleet, waitFor, type RunningProgram } from '../support/index.js';

/** Planned stops of every role while requests are in flight. */

/** A supervisor repeats its signal while the process is finishing its requests. */
const repeatDelay = 1000;

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

const tokens = 150;
const tokenMilliseconds = 20;

describe('a planned stop', () => {
  /*
   * Symptom: a caller's stream ends half way when the gateway it came through is upgraded.
   * Sequence: streams are running; SIGTERM to the gateway; the process closes its listeners and exits.
   * Cause: exiting before the streams it owns have ended.
   */
  it('of a gateway cuts off no answer', async () => {
    fleet = await Fleet.start({ tokenMilliseconds, serviceHosts: 0 });
    const gateway = fleet.member('gateway-1').program;
    await expectWholeStreamsAcross(fleet, () => {
      gateway.signal('SIGTERM');
    });
    expect(await gateway.waitForExit()).toEqual({ code: 0, signal: null });
  });

  /*
   * Symptom: streams break when a runner's host is upgraded.
   * Sequence: streams are running; SIGTERM to the sidecars of the group, lead and members; a member takes back
   * its lease at once, the group is no longer whole and its attempts are ended.
   * Cause: a member that leaves without asking the lead to finish first.
   */
  it('of every sidecar of a group cuts off no answer', async () => {
    fleet = await Fleet.start({ tokenMilliseconds, serviceHosts: 0 });
    const sidecars = fleet.list('sidecar').map(({ program }) => program);
    await expectWholeStreamsAcross(fleet, () => {
      for (const sidecar of sidecars) {
        sidecar.signal('SIGTERM');
      }
    });
    for (const sidecar of sidecars) {
      expect(await sidecar.waitForExit()).toEqual({ code: 0, signal: null });
    }
  });

  // Failure: a second SIGTERM has its default action and ends the process with all that is under way.
  it.each(['gateway', 'sidecar'])(
    'of a %s cuts off no answer when it is repeated',
    async (kind) => {
      fleet = await Fleet.start({ tokenMilliseconds, serviceHosts: 0 });
      const programs = fleet.list(kind).map(({ program }) => program);
      await expectWholeStreamsAcross(fleet, async () => {
        signalAll(programs);
        await pause(repeatDelay);
        signalAll(programs);
      });
      for (const program of programs) {
        expect(await program.waitForExit()).toEqual({ code: 0, signal: null });
        expect(program.output).toContain('"msg":"signal while stopping"');
      }
    },
  );

  /*
   * Symptom: callers of one gateway wait for their timeout after a runner's host was stopped.
   * Sequence: two groups; one is stopped; requests go on coming.
   * Cause: a gateway that goes on sending to an upstream that is leaving.
   */
  it('of one of two groups moves new requests to the other', async () => {
    fleet = await Fleet.start({ engineHosts: 8, serviceHosts: 0 });
    const running = fleet;
    const leaving = await findGroupHosts(running);
    for (const host of leaving) {
      running.member(host).program.signal('SIGTERM');
    }
    const exits = leaving.map((host) => running.member(host).program.waitForExit());
    let requests = 0;
    let isOver = false;
    void Promise.all(exits).then(() => {
      isOver = true;
    });
    // While the group leaves, and a few more once it has left.
    for (let after = 0; after < 10; after += Number(isOver)) {
      requests += 1;
      const response = await running.chat({ content: `request${requests}` });
      expect(response.status).toBe(200);
      expect(await response.text()).toContain(`request${requests}#3`);
    }
    expect(await Promise.all(exits)).toEqual(exits.map(() => ({ code: 0, signal: null })));
  });
});

function signalAll(programs: readonly RunningProgram[]): void {
  for (const program of programs) {
    program.signal('SIGTERM');
  }
}

/** The text of a streamed answer as it comes. */
class ReadStream {
  readonly ended: Promise<void>;
  #text = '';

  constructor(response: Response) {
    this.ended = this.#read(response);
  }

  get text(): string {
    return this.#text;
  }

  async #read(response: Response): Promise<void> {
    for await (const chunk of response.body ?? []) {
      this.#text += Buffer.from(chunk as Uint8Array).toString();
    }
  }
}

/** Streams that have begun before the stop must come to their end. */
async function expectWholeStreamsAcross(
  running: Fleet,
  stop: () => Promise<void> | void,
): Promise<void> {
  const responses = await Promise.all(
    Array.from({ length: 8 }, (_, index) =>
      running.chat({ content: `word${index}`, isStreamed: true, tokens }),
    ),
  );
  const streams = responses.map((response) => new ReadStream(response));
  await waitFor('every stream to begin', () => streams.every(({ text }) => text.includes('#3 ')));
  await stop();
  await Promise.all(streams.map(({ ended }) => ended));
  streams.forEach(({ text }, index) => {
    expect(text).toContain(`word${index}#${tokens - 1} `);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });
}

/** Hosts of the first group that the command line lists. */
async function findGroupHosts(running: Fleet): Promise<readonly string[]> {
  return waitFor('a group in the list', async () => {
    const { output } = await running.runCommand(['groups', '--json']);
    const view = JSON.parse(output) as {
      readonly groups: readonly { readonly members: readonly string[] }[];
    };
    return view.groups[0]?.members;
  });
}
