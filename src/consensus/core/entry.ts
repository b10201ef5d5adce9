import { z } from 'zod';

/** Schemas of the log's contents, as used in memory, on disk and between control hosts. */

const member = z.strictObject({ name: z.string(), storageId: z.string() }).readonly();

export const membershipSchema = z
  .strictObject({ voters: z.array(member).readonly(), learners: z.array(member).readonly() })
  .readonly();

const payload = z.discriminatedUnion('type', [
  /** A command for the state machine, as JSON text. */
  z.strictObject({ type: z.literal('command'), command: z.string() }).readonly(),
  z.strictObject({ type: z.literal('membership'), membership: membershipSchema }).readonly(),
  /**
   * The first entry of each leader, without effect on the state machine. Entries of earlier terms are committed only by
   * committing an entry of the current term after them: if a leader counted their copies alone, a later leader could
   * still overwrite them.
   */
  z.strictObject({ type: z.literal('leaderStart') }).readonly(),
]);

/** One log entry. Its index and term together identify it and all entries before it. */
export const logEntrySchema = z.strictObject({ index: z.int(), term: z.int(), payload }).readonly();

export type LogEntry = z.infer<typeof logEntrySchema>;
export type EntryPayload = z.infer<typeof payload>;

/** Size of an entry; only commands are large. */
export function countCharacters({ payload }: LogEntry): number {
  return payload.type === 'command' ? payload.command.length : 0;
}

/** Position of an entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** The state machine's state after the entry at `index`; replaces the entries up to that index. */
export const snapshotSchema = z
  .strictObject({
    index: z.int(),
    term: z.int(),
    membership: membershipSchema,
    /** State as JSON text. */
    data: z.string(),
  })
  .readonly();

export type Snapshot = z.infer<typeof snapshotSchema>;

/** The latest term that this data folder has seen, and the candidate that it voted for in that term. */
export const hardStateSchema = z
  .strictObject({ term: z.int(), votedFor: z.string().optional() })
  .readonly();

export type HardState = z.infer<typeof hardStateSchema>;

/** Whether a candidate whose last entry is `candidate` has a log at least as up to date as the voter's. */
export function isUpToDate(candidate: LogPosition, voter: LogPosition): boolean {
  if (candidate.term !== voter.term) {
    return candidate.term > voter.term;
  }
  return candidate.index >= voter.index;
}
