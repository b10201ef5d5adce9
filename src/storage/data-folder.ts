import { z } from 'zod';

import { createFailure, FailureError } from '../common/index.js';
import {
  hardStateSchema,
  snapshotSchema,
  type DiskChange,
  type HardState,
  type LogEntry,
  type NodeName,
  type Snapshot,
  type StorageId,
  type StoredState,
} from '../consensus/core/index.js';
import { AtomicFile, isTemporaryFile } from './atomic-file.js';
import type { FileSystem } from './file-system.js';
import { isLogFile, LogFiles, type StorageNotice } from './log-files.js';
import type { LogRecord } from './log-record.js';

const identitySchema = z
  .strictObject({
    format: z.literal(1),
    /** Host that owns the folder. */
    name: z.string(),
    storageId: z.string(),
    promisedTo: z.string().optional(),
  })
  .readonly();

type Identity = z.infer<typeof identitySchema>;

const identityFileName = 'identity';
const hardStateFileName = 'term-and-vote';
const snapshotFileName = 'snapshot';
const knownFileNames: readonly string[] = [identityFileName, hardStateFileName, snapshotFileName];

/** Options of a data folder. */
export interface DataFolderSettings {
  readonly files: FileSystem;
  readonly folder: string;
  readonly name: NodeName;
  /** Creates the storage id of a new folder; every id is unique. */
  readonly createStorageId: () => StorageId;
  /** Size in bytes at which the log continues in a new file. */
  readonly logFileBytes: number;
  readonly notice: StorageNotice;
}

/** Small enough that a log file is read back quickly, large enough that there are few files. */
export const defaultLogFileBytes = 4 * 1024 * 1024;

/** All durable state of a control host, kept in one folder. */
export class DataFolder {
  readonly #settings: DataFolderSettings;
  readonly #identityFile: AtomicFile;
  readonly #hardStateFile: AtomicFile;
  readonly #snapshotFile: AtomicFile;
  readonly #log: LogFiles;
  #identity: Identity | undefined;

  constructor(settings: DataFolderSettings) {
    const { files, folder, logFileBytes } = settings;
    this.#settings = settings;
    this.#identityFile = new AtomicFile(files, folder, identityFileName);
    this.#hardStateFile = new AtomicFile(files, folder, hardStateFileName);
    this.#snapshotFile = new AtomicFile(files, folder, snapshotFileName);
    this.#log = new LogFiles(files, folder, logFileBytes);
  }

  /** Loads the state from the folder, or initializes an empty one; throws `damagedLog` or `foreignDataFolder`. */
  async open(): Promise<StoredState> {
    await this.#settings.files.createFolder(this.#settings.folder);
    const identity = await this.#loadIdentity();
    const hardState = parse(hardStateSchema, await this.#hardStateFile.read(), hardStateFileName);
    const snapshot = parse(snapshotSchema, await this.#snapshotFile.read(), snapshotFileName);
    const entries = await this.#log.open(this.#settings.notice);
    const entriesAfterSnapshot = await this.#reconcileLog(snapshot, entries);
    checkTerms(hardState, snapshot, entriesAfterSnapshot);
    return {
      storageId: identity.storageId,
      promisedTo: identity.promisedTo,
      hardState: hardState ?? { term: 0 },
      snapshot,
      entries: entriesAfterSnapshot,
    };
  }

  /** Writes changes in order, with as few syncs as possible. All of them are synced when the promise resolves. */
  async write(changes: readonly DiskChange[]): Promise<void> {
    await this.#writeNewestHardState(changes);
    let records: LogRecord[] = [];
    for (const change of changes) {
      switch (change.type) {
        case 'hardState':
          break;
        case 'append':
          records.push(...change.entries.map((entry) => ({ type: 'entry', entry }) as const));
          break;
        case 'promise':
          await this.#writePromise(change.promisedTo);
          break;
        case 'snapshot':
          await this.#appendRecords(records);
          records = [];
          await this.#writeSnapshot(change);
          break;
      }
    }
    await this.#appendRecords(records);
  }

  close(): Promise<void> {
    return this.#log.close();
  }

  /**
   * Writes the newest term and vote before all other changes of the batch. Overtaking earlier entries is safe, since nothing of the
   * batch has been acknowledged yet. In the opposite order a crash could leave an entry with a later term than the stored one.
   */
  async #writeNewestHardState(changes: readonly DiskChange[]): Promise<void> {
    const newest = changes.findLast((change) => change.type === 'hardState');
    if (newest !== undefined) {
      await this.#hardStateFile.replace(newest.hardState);
    }
  }

  async #appendRecords(records: readonly LogRecord[]): Promise<void> {
    if (records.length > 0) {
      await this.#log.append(records);
    }
  }

  async #writePromise(promisedTo: StorageId): Promise<void> {
    if (this.#identity !== undefined) {
      this.#identity = { ...this.#identity, promisedTo };
      await this.#identityFile.replace(this.#identity);
    }
  }

  async #writeSnapshot(change: Extract<DiskChange, { type: 'snapshot' }>): Promise<void> {
    await this.#snapshotFile.replace(change.snapshot);
    if (change.discardsLog) {
      await this.#log.append([{ type: 'reset', index: change.snapshot.index }]);
    }
    await this.#log.compact(change.compactThrough);
  }

  async #loadIdentity(): Promise<Identity> {
    const { folder, name, createStorageId } = this.#settings;
    const identity = parse(identitySchema, await this.#identityFile.read(), identityFileName);
    await this.#checkFileNames(identity);
    if (identity !== undefined && identity.name !== name) {
      throw createForeignFolderError(`${folder} belongs to ${identity.name}, not to ${name}`);
    }
    this.#identity = identity ?? { format: 1, name, storageId: createStorageId() };
    if (identity === undefined) {
      await this.#identityFile.replace(this.#identity);
    }
    return this.#identity;
  }

  /** A folder without an identity counts as new only when it is empty; otherwise its votes would be lost silently. */
  async #checkFileNames(identity: Identity | undefined): Promise<void> {
    const { files, folder } = this.#settings;
    const names = (await files.listFiles(folder)).filter((name) => !isTemporaryFile(name));
    const unknown = names.find((name) => !knownFileNames.includes(name) && !isLogFile(name));
    if (unknown !== undefined) {
      throw createForeignFolderError(
        `${folder} holds ${unknown}, which is none of this system's files`,
      );
    }
    if (identity === undefined && names.length > 0) {
      throw createDamagedLogError(`${folder} has no file ${identityFileName}`);
    }
  }

  /** Drops entries that a snapshot replaced, in case of a crash after the snapshot was written and before the log was reset. */
  async #reconcileLog(
    snapshot: Snapshot | undefined,
    entries: readonly LogEntry[],
  ): Promise<readonly LogEntry[]> {
    const index = snapshot?.index ?? 0;
    const [first] = entries;
    const last = entries.at(-1);
    if (first !== undefined && first.index > index + 1) {
      throw createDamagedLogError(
        `the log begins at ${first.index}, the snapshot ends at ${index}`,
      );
    }
    const entryAtSnapshot = entries.find((entry) => entry.index === index);
    const conflictsWithSnapshot =
      entryAtSnapshot !== undefined && entryAtSnapshot.term !== snapshot?.term;
    const endsBeforeSnapshot = last === undefined || last.index < index;
    if (!conflictsWithSnapshot && !endsBeforeSnapshot) {
      return entries.filter((entry) => entry.index > index);
    }
    if (index > 0) {
      await this.#log.append([{ type: 'reset', index }]);
    }
    return [];
  }
}

function parse<Value>(schema: z.ZodType<Value>, value: unknown, name: string): Value | undefined {
  if (value === undefined) {
    return undefined;
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    throw createDamagedLogError(`${name} is not what this version writes`);
  }
  return parsed.data;
}

/** A term is synced before any entry of that term, so a lower stored term means that the term-and-vote file is outdated or lost. */
function checkTerms(
  hardState: HardState | undefined,
  snapshot: Snapshot | undefined,
  entries: readonly LogEntry[],
): void {
  const term = hardState?.term ?? 0;
  const logTerm = entries.at(-1)?.term ?? snapshot?.term ?? 0;
  if (logTerm > term) {
    throw createDamagedLogError(`the log is of term ${logTerm}, ${hardStateFileName} of ${term}`);
  }
}

function createDamagedLogError(detail: string): FailureError {
  return new FailureError(createFailure('damagedLog', detail));
}

function createForeignFolderError(detail: string): FailureError {
  return new FailureError(createFailure('foreignDataFolder', detail));
}
