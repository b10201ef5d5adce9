import { z } from 'zod';

import { createFailure, FailureError } from '../common/index.js';
import { logEntrySchema, type LogEntry } from '../consensus/core/index.js';

/** Records of the log files, and the replay that rebuilds the log from them. */

const logRecordSchema = z.discriminatedUnion('type', [
  /** Replaces any earlier entry at the same index and all entries after it. */
  z.strictObject({ type: z.literal('entry'), entry: logEntrySchema }).readonly(),
  /** Drops all entries; the next entry has the index after `index`. */
  z.strictObject({ type: z.literal('reset'), index: z.int() }).readonly(),
]);

export type LogRecord = z.infer<typeof logRecordSchema>;

const batchSchema = z.array(logRecordSchema).readonly();

export function encodeBatch(records: readonly LogRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records));
}

export function decodeBatch(content: Buffer, path: string): readonly LogRecord[] {
  const parsed = batchSchema.safeParse(JSON.parse(content.toString()));
  if (!parsed.success) {
    throw new FailureError(createFailure('damagedLog', `${path} holds an unknown record`));
  }
  return parsed.data;
}

/** The log index that a record refers to. */
export function getRecordIndex(record: LogRecord): number {
  switch (record.type) {
    case 'entry':
      return record.entry.index;
    case 'reset':
      return record.index;
  }
}

/** Rebuilds the log from its records, added in order. */
export class LogReplay {
  #entries: LogEntry[] = [];
  /** Index just before the first entry; undefined before the first record. */
  #baseIndex: number | undefined;

  get entries(): readonly LogEntry[] {
    return this.#entries;
  }

  add(record: LogRecord, path: string): void {
    switch (record.type) {
      case 'reset':
        this.#entries = [];
        this.#baseIndex = record.index;
        return;
      case 'entry':
        this.#addEntry(record.entry, path);
        return;
    }
  }

  #addEntry(entry: LogEntry, path: string): void {
    this.#baseIndex ??= entry.index - 1;
    const position = entry.index - this.#baseIndex - 1;
    if (position < 0 && this.#entries.length > 0) {
      // Compaction removed the earlier files; this entry replaces entries that they held.
      this.#baseIndex = entry.index - 1;
      this.#entries = [entry];
      return;
    }
    if (position < 0 || position > this.#entries.length) {
      const detail = `${path}: entry ${entry.index} does not follow ${this.#baseIndex + this.#entries.length}`;
      throw new FailureError(createFailure('damagedLog', detail));
    }
    this.#entries.length = position;
    this.#entries.push(entry);
  }
}
