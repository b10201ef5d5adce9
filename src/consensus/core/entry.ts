import { z } from 'zod';

/** What the log holds, in memory, on disk and between control hosts. */

const member = z.strictObject({ name: z.string(), storageId: z.string() }).readonly();

export const membershipSchema = z
  .strictObject({ voters: z.array(member).readonly(), learners: z.array(member).readonly() })
  .readonly();

const payload = z.discriminatedUnion('type', [
  /** A command for the state machine, as JSON text. */
  z.strictObject({ type: z.literal('command'), command: z.string() }).readonly(),
  z.strictObject({ type: z.literal('membership'), membership: membershipSchema }).readonly(),
  /**
   * The first entry of each leader. Entries of earlier terms are committed only below a committed entry of the present
   * one: counted by themselves they could still be overwritten by a later leader.
   */
  z.strictObject({ type: z.literal('leaderStart') }).readonly(),
]);

/** One entry; index and term together identify it and all entries before it. */
export const logEntrySchema = z.strictObject({ index: z.int(), term: z.int(), payload }).readonly();

export type LogEntry = z.infer<typeof logEntrySchema>;
export type EntryPayload = z.infer<typeof payload>;

/** Position of an entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** The state machine's state after the entry at `index`, in place of the entries up to it. */
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

/** The term that this data folder has seen and the candidate it voted for in it. */
export const hardStateSchema = z
  .strictObject({ term: z.int(), votedFor: z.string().optional() })
  .readonly();

export type HardState = z.infer<typeof hardStateSchema>;

/** Whether a candidate whose last entry is `candidate` has at least the log of a voter. */
export function isUpToDate(candidate: LogPosition, voter: LogPosition): boolean {
  if (candidate.term !== voter.term) {
    return candidate.term > voter.term;
  }
  return candidate.index >= voter.index;
}
