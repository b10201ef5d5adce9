import { Err, Ok, type Result } from 'ts-results';
import { describe, expect, it } from 'vitest';

import { createFailure, type Failure } from '../../src/common/index.js';
import { InstanceRecorder } from '../../src/control/routing/index.js';
import {
  applyCommand,
  initialControlState,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../../src/control/state/index.js';
import type { Instance } from '../../src/routing/index.js';

const nothing = { present: [], retired: [], silent: [] };

function createInstance(id: string): Instance {
  const address = `10.0.0.1:${id}`;
  return { id, service: 'engines', address, failureDomain: 'z', isDraining: false };
}

/** A log whose entries are committed when the test requests it. */
class TestLog {
  state: ControlState = initialControlState;
  readonly entries: Command[] = [];
  #commit: ((result: Result<CommandAnswer, Failure>) => void) | undefined;

  readonly proposeLocally = (command: Command): Promise<Result<CommandAnswer, Failure>> => {
    this.entries.push(command);
    return new Promise((resolve) => {
      this.#commit = resolve;
    });
  };

  async commit(): Promise<void> {
    const entry = this.entries.at(-1);
    if (entry !== undefined) {
      this.state = applyCommand(this.state, entry).state;
    }
    this.#commit?.(new Ok({ type: 'recorded' }));
    // The recorder continues in later turns of the event loop.
    await new Promise((resolve) => setImmediate(resolve));
  }

  async fail(): Promise<void> {
    this.#commit?.(new Err(createFailure('changeUncertain', '')));
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('instances that announce themselves at once', () => {
  // Guards against seconds without group placement and a leader change after startup. Hundreds of instances announce themselves within
  // a second, and each had its own log entry, which was written, sent, applied and published to every watcher one after another.
  it('share entries of the log', async () => {
    const log = new TestLog();
    const recorder = new InstanceRecorder(log);
    const ids = Array.from({ length: 400 }, (_, index) => String(index));
    const results = ids.map((id) => recorder.record({ ...nothing, present: [createInstance(id)] }));
    await log.commit();
    await log.commit();
    expect((await Promise.all(results)).every(({ ok }) => ok)).toBe(true);
    expect([...log.state.routing.instances.keys()]).toEqual(ids);
    expect(log.entries).toHaveLength(2);
  });

  it('stay gone where they leave in the same entry', async () => {
    const log = new TestLog();
    const recorder = new InstanceRecorder(log);
    const first = recorder.record({ ...nothing, present: [createInstance('0')] });
    const second = recorder.record({ ...nothing, present: [createInstance('1')] });
    const third = recorder.record({ ...nothing, retired: [{ id: '1' }] });
    await log.commit();
    await log.commit();
    await Promise.all([first, second, third]);
    expect([...log.state.routing.instances.keys()]).toEqual(['0']);
  });

  it('are all told where their entry may be lost, and the next ones are recorded', async () => {
    const log = new TestLog();
    const recorder = new InstanceRecorder(log);
    const first = recorder.record({ ...nothing, present: [createInstance('0')] });
    const second = recorder.record({ ...nothing, present: [createInstance('1')] });
    await log.fail();
    await log.commit();
    expect((await first).ok).toBe(false);
    expect((await second).ok).toBe(true);
  });
});
