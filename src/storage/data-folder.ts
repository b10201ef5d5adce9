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
import { CheckedFile, isTemporaryFile } from './checked-file.js';
import type { FileSystem } from './file-system.js';
import { isLogFile, LogFiles, type StorageNotice } from './log-files.js';
import type { LogRecord } from './log-record.js';

const identitySchema = z
  .strictObject({
    format: z.literal(1),
    /** Host that the folder belongs to. */
    name: z.string(),
    storageId: z.string(),
    promisedTo: z.string().optional(),
  })
  .readonly();

type Identity = z.infer<typeof identitySchema>;

const identityName = 'identity';
const hardStateName = 'term-and-vote';
const snapshotName = 'snapshot';
const knownNames: readonly string[] = [identityName, hardStateName, snapshotName];

/** What a data folder is opened with. */
export interface DataFolderSettings {
  readonly files: FileSystem;
  readonly folder: string;
  readonly name: NodeName;
  /** Makes the storage id of a new folder; never the same twice. */
  readonly createStorageId: () => StorageId;
  /** Size at which the log goes on in a new file. */
  readonly logFileBytes: number;
  readonly notice: StorageNotice;
}

/** Log files are small enough to be read back in a moment and large enough that few are made. */
export const defaultLogFileBytes = 4 * 1024 * 1024;

/** All durable state of a control host, under one folder. */
export class DataFolder {
  readonly #settings: DataFolderSettings;
  readonly #identityFile: CheckedFile;
  readonly #hardStateFile: CheckedFile;
  readonly #snapshotFile: CheckedFile;
  readonly #log: LogFiles;
  #identity: Identity | undefined;

  constructor(settings: DataFolderSettings) {
    const { files, folder, logFileBytes } = settings;
    this.#settings = settings;
    this.#identityFile = new CheckedFile(files, folder, identityName);
    this.#hardStateFile = new CheckedFile(files, folder, hardStateName);
    this.#snapshotFile = new CheckedFile(files, folder, snapshotName);
    this.#log = new LogFiles(files, folder, logFileBytes);
  }

  /** Reads the folder, or makes a blank one; fails with `damagedLog` or `foreignDataFolder`. */
  async open(): Promise<StoredState> {
    await this.#settings.files.makeFolder(this.#settings.folder);
    const identity = await this.#openIdentity();
    const hardState = parse(hardStateSchema, await this.#hardStateFile.read(), hardStateName);
    const snapshot = parse(snapshotSchema, await this.#snapshotFile.read(), snapshotName);
    const entries = await this.#log.open(this.#settings.notice);
    const usable = await this.#alignLog(snapshot, entries);
    checkTerms(hardState, snapshot, usable);
    return {
      storageId: identity.storageId,
      promisedTo: identity.promisedTo,
      hardState: hardState ?? { term: 0 },
      snapshot,
      entries: usable,
    };
  }

  /** Carries out changes in order, with as few syncs as that allows; all are synced when it resolves. */
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
   * A term and vote may be on disk before entries that were written earlier, since no answer was given for either yet;
   * the other way round, an entry could be of a term that the folder does not know.
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

  async #openIdentity(): Promise<Identity> {
    const { folder, name, createStorageId } = this.#settings;
    const identity = parse(identitySchema, await this.#identityFile.read(), identityName);
    await this.#checkNames(identity);
    if (identity !== undefined && identity.name !== name) {
      throw foreign(`${folder} belongs to ${identity.name}, not to ${name}`);
    }
    this.#identity = identity ?? { format: 1, name, storageId: createStorageId() };
    if (identity === undefined) {
      await this.#identityFile.replace(this.#identity);
    }
    return this.#identity;
  }

  /** A folder without identity is blank only when it holds nothing: else its votes would be forgotten in silence. */
  async #checkNames(identity: Identity | undefined): Promise<void> {
    const { files, folder } = this.#settings;
    const names = (await files.listFiles(folder)).filter((name) => !isTemporaryFile(name));
    const unknown = names.find((name) => !knownNames.includes(name) && !isLogFile(name));
    if (unknown !== undefined) {
      throw foreign(`${folder} holds ${unknown}, which is none of this system's files`);
    }
    if (identity === undefined && names.length > 0) {
      throw damaged(`${folder} has no file ${identityName}`);
    }
  }

  /** Drops entries that a snapshot replaced, where a crash came between the snapshot and the log. */
  async #alignLog(
    snapshot: Snapshot | undefined,
    entries: readonly LogEntry[],
  ): Promise<readonly LogEntry[]> {
    const index = snapshot?.index ?? 0;
    const [first] = entries;
    const last = entries.at(-1);
    if (first !== undefined && first.index > index + 1) {
      throw damaged(`the log begins at ${first.index}, the snapshot ends at ${index}`);
    }
    const entryAtSnapshot = entries.find((entry) => entry.index === index);
    const isOtherLog = entryAtSnapshot !== undefined && entryAtSnapshot.term !== snapshot?.term;
    const isOlder = last === undefined || last.index < index;
    if (!isOtherLog && !isOlder) {
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
    throw damaged(`${name} is not what this version writes`);
  }
  return parsed.data;
}

/** A term is synced before any entry of it; a lower one means that the file of term and vote is old or lost. */
function checkTerms(
  hardState: HardState | undefined,
  snapshot: Snapshot | undefined,
  entries: readonly LogEntry[],
): void {
  const term = hardState?.term ?? 0;
  const logTerm = entries.at(-1)?.term ?? snapshot?.term ?? 0;
  if (logTerm > term) {
    throw damaged(`the log is of term ${logTerm}, ${hardStateName} of ${term}`);
  }
}

function damaged(detail: string): FailureError {
  return new FailureError(createFailure('damagedLog', detail));
}

function foreign(detail: string): FailureError {
  return new FailureError(createFailure('foreignDataFolder', detail));
}
