import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { FailureError, type ResultCodeName } from '../../src/common/index.js';
import type { DiskChange, LogEntry, StoredState } from '../../src/consensus/core/index.js';
import { DataFolder, Journal } from '../../src/storage/index.js';
import { SimulatedDisk } from '../consensus/simulation/simulated-disk.js';
import { MemoryFileSystem } from './memory-file-system.js';

const logPath = '/data/log-0000000001';

class Fixture {
  readonly files = new MemoryFileSystem();
  readonly notices: string[] = [];
  #folders = 0;

  create(name = 'a', logFileBytes = 1_000_000): DataFolder {
    this.#folders += 1;
    const storageId = `storage-${this.#folders}`;
    return new DataFolder({
      files: this.files,
      folder: '/data',
      name,
      createStorageId: () => storageId,
      logFileBytes,
      notice: (message) => this.notices.push(message),
    });
  }

  /** A folder with three batches of one entry each. */
  async fill(): Promise<void> {
    const folder = this.create();
    await folder.open();
    await folder.write([{ type: 'hardState', hardState: { term: 1, votedFor: 'storage-1' } }]);
    for (const index of [1, 2, 3]) {
      await folder.write([append(createEntry(index, 1))]);
    }
  }
}

function createEntry(index: number, term: number): LogEntry {
  return { index, term, payload: { type: 'command', command: `command ${index} of ${term}` } };
}

function append(...entries: readonly LogEntry[]): DiskChange {
  return { type: 'append', keepThrough: (entries[0]?.index ?? 1) - 1, entries };
}

async function findFailure(open: Promise<StoredState>): Promise<ResultCodeName | undefined> {
  try {
    await open;
    return undefined;
  } catch (error) {
    return error instanceof FailureError ? error.failure.code : 'internal';
  }
}

function listIndexes(state: StoredState): readonly number[] {
  return state.entries.map(({ index }) => index);
}

describe('data folder', () => {
  it('restores what was written when it is opened again', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    const state = await fixture.create().open();
    expect(state.storageId).toBe('storage-1');
    expect(state.hardState).toEqual({ term: 1, votedFor: 'storage-1' });
    expect(listIndexes(state)).toEqual([1, 2, 3]);
  });

  // Failure: the process does not start after a power failure during the write of a batch. The last batch is then incomplete.
  // It was never synced or acknowledged, so it may be discarded.
  it('truncates a torn tail and reports it', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    fixture.files.tamper(logPath, (content) => content.subarray(0, content.length - 5));
    const state = await fixture.create().open();
    expect(listIndexes(state)).toEqual([1, 2]);
    expect(fixture.notices).toEqual([
      expect.stringMatching(/cut off \d+ bytes of a batch that was never synced nor answered/),
    ]);
    const folder = fixture.create();
    await folder.open();
    await folder.write([append(createEntry(3, 1))]);
    expect(listIndexes(await fixture.create().open())).toEqual([1, 2, 3]);
  });

  // Failure: an accepted change is lost after a sector in the middle of the log goes bad and the process restarts.
  // The entries after the damage were acknowledged; truncating the log there would lose them silently.
  it('refuses to open a log that is damaged in the middle', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    fixture.files.tamper(logPath, (content) => {
      content[20] = (content[20] ?? 0) ^ 1;
      return content;
    });
    expect(await findFailure(fixture.create().open())).toBe('damagedLog');
  });

  // As above, with the damage in the length of a batch, which locates the next batch.
  it('refuses to open a log with a damaged batch length', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    fixture.files.tamper(logPath, (content) => {
      content.writeUInt32LE(0xffff, 4);
      return content;
    });
    expect(await findFailure(fixture.create().open())).toBe('damagedLog');
  });

  // Failure: a host votes twice in a term because its term-and-vote file is lost or replaced by an old copy while the log is intact.
  // A term is synced before any entry of that term, so a log with a later term shows that the stored vote is outdated.
  it('refuses to open when the stored term is older than the log', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    await fixture.files.remove('/data/term-and-vote');
    expect(await findFailure(fixture.create().open())).toBe('damagedLog');
  });

  // Failure: a host that lost only some files of its folder takes part as if the folder were new.
  // Without the identity, the folder would get a new storage id although it holds a vote.
  it('refuses to open a used folder without its identity', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    await fixture.files.remove('/data/identity');
    expect(await findFailure(fixture.create().open())).toBe('damagedLog');
  });

  it.each([
    ['the folder of another host', 'b', undefined],
    ['a folder with unknown files', 'a', '/data/photographs'],
  ])('refuses %s', async (_case, name, strangePath) => {
    const fixture = new Fixture();
    await fixture.fill();
    if (strangePath !== undefined) {
      await fixture.files.writeFile(strangePath, Buffer.from('x'));
    }
    expect(await findFailure(fixture.create(name).open())).toBe('foreignDataFolder');
  });

  it('removes log files that a snapshot covers', async () => {
    const fixture = new Fixture();
    const folder = fixture.create('a', 200);
    await folder.open();
    await folder.write([{ type: 'hardState', hardState: { term: 1 } }]);
    for (let index = 1; index <= 20; index += 1) {
      await folder.write([append(createEntry(index, 1))]);
    }
    const snapshot = { index: 18, term: 1, membership: { voters: [], learners: [] }, data: '{}' };
    await folder.write([{ type: 'snapshot', snapshot, compactThrough: 15, discardsLog: false }]);
    expect(fixture.files.has(logPath)).toBe(false);
    const state = await fixture.create('a', 200).open();
    expect(state.snapshot).toEqual(snapshot);
    expect(listIndexes(state)).toEqual([19, 20]);
  });

  // Failure: entries of two different logs are mixed. Another host's snapshot replaces a log with other entries; power fails between
  // the writes of the snapshot and the log, and again later. The replaced entries would then reappear after the new ones.
  it('discards entries that a snapshot replaced', async () => {
    const fixture = new Fixture();
    await fixture.fill();
    const folder = fixture.create();
    await folder.open();
    const snapshot = { index: 2, term: 2, membership: { voters: [], learners: [] }, data: '{}' };
    await folder.write([{ type: 'hardState', hardState: { term: 2 } }]);
    // Replacing the identity, the term or the snapshot takes three operations: a write, a rename and a sync of the folder.
    fixture.files.remainingOperations = 3;
    const write = folder.write([
      { type: 'snapshot', snapshot, compactThrough: 2, discardsLog: true },
    ]);
    await expect(write).rejects.toThrow('the disk is gone');
    fixture.files.crash(0);
    const reopened = fixture.create();
    expect(listIndexes(await reopened.open())).toEqual([]);
    await reopened.write([append(createEntry(3, 2))]);
    const state = await fixture.create().open();
    expect(state.entries).toEqual([createEntry(3, 2)]);
  });
});

const change: fc.Arbitrary<DiskChange['type']> = fc.constantFrom(
  'append',
  'append',
  'append',
  'hardState',
  'promise',
  'snapshot',
);

/** Creates changes that the consensus core could make: consecutive entries, growing terms, own and received snapshots. */
function createChange(type: DiskChange['type'], state: StoredState, number: number): DiskChange {
  const snapshotIndex = state.snapshot?.index ?? 0;
  const lastIndex = state.entries.at(-1)?.index ?? snapshotIndex;
  const { term } = state.hardState;
  switch (type) {
    case 'append': {
      const keepThrough = Math.max(snapshotIndex, lastIndex - (number % 3 === 0 ? 1 : 0));
      return append(createEntry(keepThrough + 1, term), createEntry(keepThrough + 2, term));
    }
    case 'hardState':
      return { type, hardState: { term: term + 1 } };
    case 'promise':
      return { type, promisedTo: `coordinator-${number}` };
    case 'snapshot': {
      const membership = { voters: [], learners: [] };
      const index = number % 2 === 0 ? lastIndex : lastIndex + 5;
      const ownTerm = state.entries.at(-1)?.term ?? state.snapshot?.term ?? 0;
      const ofTerm = index === lastIndex ? ownTerm : term;
      const snapshot = { index, term: ofTerm, membership, data: String(number) };
      return { type, snapshot, compactThrough: index, discardsLog: index > lastIndex };
    }
  }
}

describe('journal', () => {
  // Failure: an acknowledged promise is lost because it was acknowledged before file and folder were synced.
  // Tries random writes with a power failure at any disk operation, after which any part of the last batch may be on the disk.
  it('loses nothing in a crash that was reported as synced', async () => {
    const property = fc.asyncProperty(
      fc.array(change, { minLength: 1, maxLength: 25 }),
      fc.nat(60),
      fc.nat(80),
      async (types, operations, keptBytes) => {
        const fixture = new Fixture();
        const folder = fixture.create('a', 300);
        const model = new SimulatedDisk((await folder.open()).storageId);
        const states: StoredState[] = [model.synced];
        let persisted = 0;
        const journal = new Journal(folder, {
          persisted: (write) => (persisted = write),
          failed: () => undefined,
        });
        fixture.files.remainingOperations = operations;
        for (const [position, type] of types.entries()) {
          const next = createChange(type, model.newest, position + 1);
          model.add(position + 1, next);
          states.push(model.newest);
          journal.add(position + 1, next);
          await (position % 3 === 0 ? journal.drain() : Promise.resolve());
        }
        await journal.drain();
        fixture.files.crash(keptBytes);
        const state = await fixture.create('a', 300).open();
        const later = states.slice(persisted);
        expect(later.map(describeLog)).toContain(describeLog(state));
        expect(later.map(({ hardState }) => hardState.term)).toContain(state.hardState.term);
        expect(later.map(({ promisedTo }) => promisedTo)).toContain(state.promisedTo);
      },
    );
    await fc.assert(property, { numRuns: 1500, seed: 3 });
  });

  it('shares one sync among the changes added during another', async () => {
    const fixture = new Fixture();
    const folder = fixture.create();
    await folder.open();
    await folder.write([{ type: 'hardState', hardState: { term: 1 } }]);
    const reported: number[] = [];
    const journal = new Journal(folder, {
      persisted: (write) => reported.push(write),
      failed: () => undefined,
    });
    fixture.files.syncCount = 0;
    for (let index = 1; index <= 100; index += 1) {
      journal.add(index, append(createEntry(index, 1)));
    }
    await journal.drain();
    expect(reported).toEqual([100]);
    expect(fixture.files.syncCount).toBe(1);
  });

  // Failure: a change is acknowledged although its write failed, because a sync fails and a later one succeeds.
  // After a failed sync the kernel may have dropped the data that it could not write.
  it('acknowledges nothing after a failed write', async () => {
    const fixture = new Fixture();
    const folder = fixture.create();
    await folder.open();
    const reported: number[] = [];
    const failures: unknown[] = [];
    const journal = new Journal(folder, {
      persisted: (write) => reported.push(write),
      failed: (error) => failures.push(error),
    });
    fixture.files.remainingOperations = 1;
    journal.add(1, append(createEntry(1, 0)));
    await journal.drain();
    fixture.files.remainingOperations = Number.POSITIVE_INFINITY;
    journal.add(2, append(createEntry(2, 0)));
    await journal.drain();
    expect(reported).toEqual([]);
    expect(failures).toHaveLength(1);
  });
});

function describeLog(state: StoredState): string {
  return JSON.stringify([state.snapshot, state.entries]);
}
