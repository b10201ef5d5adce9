import { z } from 'zod';

import { createFailure, FailureError } from '../common/index.js';
import { logEntrySchema, type LogEntry } from '../consensus/core/index.js';

/** Records of the log files, and the log that they add up to. */

const logRecordSchema = z.discriminatedUnion('type', [
  /** Takes the place of any earlier entry at its index and of all after that. */
  z.strictObject({ type: z.literal('entry'), entry: logEntrySchema }).readonly(),
  /** Drops all entries; the next one follows `index`. */
  z.strictObject({ type: z.literal('reset'), index: z.int() }).readonly(),
]);

export type LogRecord = z.infer<typeof logRecordSchema>;

const batchSchema = z.array(logRecordSchema).readonly();

export function encodeBatch(records: readonly LogRecord[]): Buffer {
  return Buffer.from(JSON.stringify(records));
}

export function decodeBatch(content: Buffer, place: string): readonly LogRecord[] {
  const parsed = batchSchema.safeParse(JSON.parse(content.toString()));
  if (!parsed.success) {
    throw new FailureError(createFailure('damagedLog', `${place} holds an unknown record`));
  }
  return parsed.data;
}

/** The index up to which records speak of the log. */
export function findRecordIndex(record: LogRecord): number {
  switch (record.type) {
    case 'entry':
      return record.entry.index;
    case 'reset':
      return record.index;
  }
}

/** Replays records in order. */
export class LogReplay {
  #entries: LogEntry[] = [];
  /** Index that the first entry must follow; undefined before the first record. */
  #baseIndex: number | undefined;

  get entries(): readonly LogEntry[] {
    return this.#entries;
  }

  add(record: LogRecord, place: string): void {
    switch (record.type) {
      case 'reset':
        this.#entries = [];
        this.#baseIndex = record.index;
        return;
      case 'entry':
        this.#addEntry(record.entry, place);
        return;
    }
  }

  #addEntry(entry: LogEntry, place: string): void {
    this.#baseIndex ??= entry.index - 1;
    const position = entry.index - this.#baseIndex - 1;
    if (position < 0 && this.#entries.length > 0) {
      // The files before were compacted away, and this entry replaces some of what they held.
      this.#baseIndex = entry.index - 1;
      this.#entries = [entry];
      return;
    }
    if (position < 0 || position > this.#entries.length) {
      const detail = `${place}: entry ${entry.index} does not follow ${this.#baseIndex + this.#entries.length}`;
      throw new FailureError(createFailure('damagedLog', detail));
    }
    this.#entries.length = position;
    this.#entries.push(entry);
  }
}
