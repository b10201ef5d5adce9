import { join } from 'node:path';

import { createFailure, FailureError } from '../common/index.js';
import type { LogEntry } from '../consensus/core/index.js';
import type { AppendFile, FileSystem } from './file-system.js';
import { decodeFrames, encodeFrame, type DecodedFrames } from './frame.js';
import {
  decodeBatch,
  encodeBatch,
  getRecordIndex,
  LogReplay,
  type LogRecord,
} from './log-record.js';

/** Receives messages for the operator; the process logs them. */
export type StorageNotice = (message: string) => void;

/** One file of the log. */
interface LogFile {
  readonly sequence: number;
  /** Highest log index in its records. */
  readonly highestIndex: number;
}

const namePattern = /^log-(\d{10})$/;

/** The log on disk: numbered files of checksummed batches. Old files are removed once a snapshot covers them. */
export class LogFiles {
  readonly #files: FileSystem;
  readonly #folder: string;
  readonly #fileBytes: number;
  #older: LogFile[] = [];
  #current: LogFile = { sequence: 1, highestIndex: 0 };
  #currentBytes = 0;
  #writer: AppendFile | undefined;

  constructor(files: FileSystem, folder: string, fileBytes: number) {
    this.#files = files;
    this.#folder = folder;
    this.#fileBytes = fileBytes;
  }

  /** Reads all files. Truncates a torn tail of the last file and throws on any other damage. */
  async open(notice: StorageNotice): Promise<readonly LogEntry[]> {
    const sequences = await this.#listSequences();
    const replay = new LogReplay();
    for (const [position, sequence] of sequences.entries()) {
      const isLast = position === sequences.length - 1;
      const previous = sequences[position - 1] ?? sequence - 1;
      if (sequence !== previous + 1) {
        throw createDamagedLogError(`${this.#pathOf(previous + 1)} is missing`);
      }
      await this.#readFile(sequence, isLast, replay, notice);
    }
    await this.#openWriter();
    return replay.entries;
  }

  /** Appends one batch and syncs it. */
  async append(records: readonly LogRecord[]): Promise<void> {
    if (this.#currentBytes >= this.#fileBytes) {
      await this.#startFile();
    }
    const frame = encodeFrame(encodeBatch(records));
    await this.#writer?.append(frame);
    await this.#writer?.sync();
    this.#currentBytes += frame.length;
    const { sequence, highestIndex } = this.#current;
    const indexes = records.map(getRecordIndex);
    this.#current = { sequence, highestIndex: Math.max(highestIndex, ...indexes) };
  }

  /** Removes the oldest files whose records all have indexes up to the given one. */
  async compact(throughIndex: number): Promise<void> {
    let removed = 0;
    for (const file of this.#older) {
      if (file.highestIndex > throughIndex) {
        break;
      }
      await this.#files.remove(this.#pathOf(file.sequence));
      removed += 1;
    }
    if (removed > 0) {
      this.#older = this.#older.slice(removed);
      await this.#files.syncFolder(this.#folder);
    }
  }

  async close(): Promise<void> {
    await this.#writer?.close();
    this.#writer = undefined;
  }

  async #listSequences(): Promise<readonly number[]> {
    const names = await this.#files.listFiles(this.#folder);
    return names
      .flatMap((name) => namePattern.exec(name)?.[1] ?? [])
      .map(Number)
      .sort((left, right) => left - right);
  }

  async #readFile(
    sequence: number,
    isLast: boolean,
    replay: LogReplay,
    notice: StorageNotice,
  ): Promise<void> {
    const path = this.#pathOf(sequence);
    const bytes = Buffer.from((await this.#files.readFile(path)) ?? []);
    const decoded = decodeFrames(bytes);
    if (decoded.end === 'damaged' || (decoded.end === 'torn' && !isLast)) {
      throw createDamagedLogError(`${path} at byte ${decoded.validLength}`);
    }
    const highestIndex = replayFrames(decoded, path, replay);
    if (isLast) {
      this.#current = { sequence, highestIndex };
      this.#currentBytes = decoded.validLength;
    } else {
      this.#older.push({ sequence, highestIndex });
    }
    if (decoded.end === 'torn') {
      const discardedBytes = bytes.length - decoded.validLength;
      notice(
        `${path}: cut off ${discardedBytes} bytes of a batch that was never synced nor answered`,
      );
      await this.#files.truncate(path, decoded.validLength);
    }
  }

  async #startFile(): Promise<void> {
    await this.#writer?.close();
    this.#older.push(this.#current);
    this.#current = { sequence: this.#current.sequence + 1, highestIndex: 0 };
    this.#currentBytes = 0;
    await this.#openWriter();
  }

  /** Syncs the folder after creating a file; without that, a crash could lose the file together with its synced batches. */
  async #openWriter(): Promise<void> {
    this.#writer = await this.#files.openForAppend(this.#pathOf(this.#current.sequence));
    await this.#files.syncFolder(this.#folder);
  }

  #pathOf(sequence: number): string {
    return join(this.#folder, `log-${String(sequence).padStart(10, '0')}`);
  }
}

/** Whether a file of the data folder is part of the log. */
export function isLogFile(name: string): boolean {
  return namePattern.test(name);
}

function replayFrames(decoded: DecodedFrames, path: string, replay: LogReplay): number {
  let highestIndex = 0;
  for (const content of decoded.contents) {
    for (const record of decodeBatch(content, path)) {
      replay.add(record, path);
      highestIndex = Math.max(highestIndex, getRecordIndex(record));
    }
  }
  return highestIndex;
}

function createDamagedLogError(detail: string): FailureError {
  return new FailureError(createFailure('damagedLog', detail));
}
