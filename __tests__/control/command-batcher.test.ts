import fc from 'fast-check';
import { Err, Ok, type Result } from 'ts-results';
import { describe, expect, it } from 'vitest';

import { createFailure, type Failure } from '../../src/common/index.js';
import { InstanceRecorder } from '../../src/control/routing/index.js';
import {
  ControlStateMachine,
  formatCommand,
  type Command,
  type CommandAnswer,
} from '../../src/control/state/index.js';
import type { Instance } from '../../src/routing/index.js';

const serviceName = 'registry';
const longestName = 200;

/** What becomes of an entry of the log: a leader that loses its office cannot tell whether it was applied. */
type EntryFate = 'answered' | 'appliedUnseen' | 'lost';

/** A log that applies each entry as control hosts do, from its text. */
class TextLog {
  readonly machine = new ControlStateMachine();
  readonly #fates: readonly EntryFate[];
  #count = 0;

  constructor(fates: readonly EntryFate[]) {
    this.#fates = fates;
  }

  readonly proposeLocally = async (command: Command): Promise<Result<CommandAnswer, Failure>> => {
    const fate = this.#fates[this.#count] ?? 'answered';
    this.#count += 1;
    await new Promise((resolve) => setImmediate(resolve));
    const uncertain = new Err(createFailure('changeUncertain', ''));
    if (fate === 'lost') {
      return uncertain;
    }
    const answer = this.machine.apply(this.#count, formatCommand(command));
    return fate === 'answered' ? new Ok(answer) : uncertain;
  };

  isPresent(id: string): boolean {
    return this.machine.read().routing.instances.has(id);
  }

  hasLeft(id: string): boolean {
    return this.machine.read().routing.departed.some((each) => each.id === id);
  }
}

function createInstance(id: string, service = serviceName): Instance {
  return { id, service, address: `10.0.0.1:${id}`, failureDomain: 'z', isDraining: false };
}

type Entry =
  | { readonly type: 'present'; readonly service: string }
  | { readonly type: 'leaving' }
  /** From a writer that does not keep to the format. */
  | { readonly type: 'foreign'; readonly id: unknown; readonly service: unknown };

const foreignName = fc.constantFrom<unknown>('', 'x'.repeat(longestName + 1), null, 5, undefined);
const entry: fc.Arbitrary<Entry> = fc.oneof(
  fc.record({ type: fc.constant('present' as const), service: fc.constant(serviceName) }),
  fc.record({ type: fc.constant('leaving' as const) }),
  fc.record({ type: fc.constant('foreign' as const), id: foreignName, service: foreignName }),
);
const fate = fc.constantFrom<EntryFate>('answered', 'answered', 'appliedUnseen', 'lost');

async function record(recorder: InstanceRecorder, each: Entry, id: string): Promise<boolean> {
  const nothing = { present: [], retired: [], silent: [] };
  switch (each.type) {
    case 'present':
      return (await recorder.record({ ...nothing, present: [createInstance(id)] })).ok;
    case 'leaving':
      return (await recorder.record({ ...nothing, retired: [{ id }] })).ok;
    case 'foreign': {
      const { id: foreignId, service } = each;
      const instance = { ...createInstance(id), id: foreignId, service } as Instance;
      return (await recorder.record({ ...nothing, present: [instance] })).ok;
    }
  }
}

// Guards against acknowledged departures that are lost because an entry beside them in the log is invalid.
describe('entries that share a command of the log', () => {
  it('are acknowledged if they are recorded, whatever arrives beside them', async () => {
    const mixes = fc.array(entry, { minLength: 1, maxLength: 20 });
    await fc.assert(
      fc.asyncProperty(mixes, fc.array(fate, { maxLength: 4 }), async (entries, fates) => {
        const log = new TextLog(fates);
        const recorder = new InstanceRecorder(log);
        const acknowledged = await Promise.all(
          entries.map((each, index) => record(recorder, each, String(index))),
        );
        const areAllAnswered = fates.every((each) => each === 'answered');
        for (const [index, each] of entries.entries()) {
          const id = String(index);
          const isRecorded =
            each.type === 'present'
              ? log.isPresent(id)
              : each.type === 'leaving' && log.hasLeft(id);
          expect(!acknowledged[index] || isRecorded).toBe(true);
          if (areAllAnswered) {
            expect(acknowledged[index]).toBe(each.type !== 'foreign');
          }
        }
      }),
      { seed: 20_261_206, numRuns: 300 },
    );
  });
});
