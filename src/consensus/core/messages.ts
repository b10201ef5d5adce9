import { z } from 'zod';

import { logEntrySchema, membershipSchema } from './entry.js';

/** Messages between control hosts; JSON text inside a ConsensusEnvelope. */

/** On every message. */
const header = {
  /** Data folder of the sender. */
  sender: z.string(),
  /** Data folder that the message is meant for; a host with another one drops it. Absent: any. */
  recipient: z.string().optional(),
};

/** On every answer to a leader: what it was an answer to, and the follower's clock. */
const acknowledgement = {
  term: z.int(),
  /** Round of the leader's message. */
  round: z.int(),
  /** The leader's clock when it sent that message. */
  sentAt: z.number(),
  /** The follower's clock and incarnation, for the leader to send back. */
  clock: z.strictObject({ incarnation: z.int(), at: z.number() }).readonly(),
};

/** On every message of a leader. */
const leaderHeader = {
  ...header,
  term: z.int(),
  /** Counts broadcasts of this leader; a read waits for a round that began after it. */
  round: z.int(),
  sentAt: z.number(),
  /** The newest clock reading that the leader had from this follower. */
  echo: z.strictObject({ incarnation: z.int(), at: z.number() }).readonly().optional(),
  /** How long before sending this the leader knew that it had a quorum. */
  quorumAge: z.number(),
};

const candidacy = { ...header, term: z.int(), lastIndex: z.int(), lastTerm: z.int() };

/** Asks whether an election would be won, before any term changes: a host that was cut off then disturbs nobody. */
const preVote = z.strictObject({ type: z.literal('preVote'), ...candidacy }).readonly();

const preVoteAnswer = z
  .strictObject({
    type: z.literal('preVoteAnswer'),
    ...header,
    /** The voter's own term. */
    term: z.int(),
    /** The term that the candidate would take. */
    proposedTerm: z.int(),
    isGranted: z.boolean(),
  })
  .readonly();

const vote = z
  .strictObject({
    type: z.literal('vote'),
    ...candidacy,
    /** The leader itself asked for this election, so voters that hear it need not refuse. */
    isInvited: z.boolean(),
  })
  .readonly();

const voteAnswer = z
  .strictObject({
    type: z.literal('voteAnswer'),
    ...header,
    term: z.int(),
    isGranted: z.boolean(),
  })
  .readonly();

/** Entries after a position, or none: a heartbeat. */
const append = z
  .strictObject({
    type: z.literal('append'),
    ...leaderHeader,
    previousIndex: z.int(),
    previousTerm: z.int(),
    entries: z.array(logEntrySchema).readonly(),
    commitIndex: z.int(),
  })
  .readonly();

const appendAccepted = z
  .strictObject({
    type: z.literal('appendAccepted'),
    ...header,
    ...acknowledgement,
    /** The follower's synced log equals the leader's up to this index. */
    matchIndex: z.int(),
  })
  .readonly();

const appendRejected = z
  .strictObject({
    type: z.literal('appendRejected'),
    ...header,
    ...acknowledgement,
    previousIndex: z.int(),
    /** First index that the follower may lack. */
    wantedIndex: z.int(),
  })
  .readonly();

/** A part of a snapshot, for a follower whose next entry was compacted away. */
const snapshotChunk = z
  .strictObject({
    type: z.literal('snapshotChunk'),
    ...leaderHeader,
    snapshotIndex: z.int(),
    snapshotTerm: z.int(),
    membership: membershipSchema,
    /** In UTF-16 code units of the state's JSON text. */
    offset: z.int(),
    totalLength: z.int(),
    data: z.string(),
  })
  .readonly();

const snapshotProgress = z
  .strictObject({
    type: z.literal('snapshotProgress'),
    ...header,
    ...acknowledgement,
    snapshotIndex: z.int(),
    /** Offset of the next chunk that the follower needs. */
    wantedOffset: z.int(),
  })
  .readonly();

/** Tells a leader or candidate of an older term that its time is over. */
const staleTerm = z
  .strictObject({ type: z.literal('staleTerm'), ...header, term: z.int() })
  .readonly();

/** A leader that is about to stop asks a follower with the whole log to take its place at once. */
const electionInvitation = z
  .strictObject({ type: z.literal('electionInvitation'), ...header, term: z.int() })
  .readonly();

/** A data folder that is no member tells of itself, so that a leader may take it in. */
const greeting = z.strictObject({ type: z.literal('greeting'), ...header }).readonly();

/** The coordinator of a first start asks whether a host is blank. */
const formationInquiry = z
  .strictObject({ type: z.literal('formationInquiry'), ...header, nonce: z.int() })
  .readonly();

const formationBlank = z
  .strictObject({ type: z.literal('formationBlank'), ...header, nonce: z.int() })
  .readonly();

/** Once every host has said that it is blank: asks for the promise to take part. */
const formationQuestion = z
  .strictObject({
    type: z.literal('formationQuestion'),
    ...header,
    nonce: z.int(),
    voters: membershipSchema.unwrap().shape.voters,
  })
  .readonly();

/** Synced before it is sent: this data folder takes part in no other first start. */
const formationPromise = z
  .strictObject({ type: z.literal('formationPromise'), ...header, nonce: z.int() })
  .readonly();

export const consensusMessageSchema = z.discriminatedUnion('type', [
  preVote,
  preVoteAnswer,
  vote,
  voteAnswer,
  append,
  appendAccepted,
  appendRejected,
  snapshotChunk,
  snapshotProgress,
  staleTerm,
  electionInvitation,
  greeting,
  formationInquiry,
  formationBlank,
  formationQuestion,
  formationPromise,
]);

export type ConsensusMessage = z.infer<typeof consensusMessageSchema>;
export type PreVoteMessage = z.infer<typeof preVote>;
export type PreVoteAnswerMessage = z.infer<typeof preVoteAnswer>;
export type VoteMessage = z.infer<typeof vote>;
export type VoteAnswerMessage = z.infer<typeof voteAnswer>;
export type ElectionInvitationMessage = z.infer<typeof electionInvitation>;
export type AppendMessage = z.infer<typeof append>;
export type AppendAcceptedMessage = z.infer<typeof appendAccepted>;
export type AppendRejectedMessage = z.infer<typeof appendRejected>;
export type SnapshotChunkMessage = z.infer<typeof snapshotChunk>;
export type SnapshotProgressMessage = z.infer<typeof snapshotProgress>;
export type FormationInquiryMessage = z.infer<typeof formationInquiry>;
export type FormationBlankMessage = z.infer<typeof formationBlank>;
export type FormationQuestionMessage = z.infer<typeof formationQuestion>;
export type FormationPromiseMessage = z.infer<typeof formationPromise>;

/** Any message of a leader. */
export type LeaderMessage = AppendMessage | SnapshotChunkMessage;

/** Any answer to a leader. */
export type AcknowledgementMessage =
  AppendAcceptedMessage | AppendRejectedMessage | SnapshotProgressMessage;

/** A reading of a follower's clock; readings of another incarnation cannot be compared. */
export type FollowerClock = AcknowledgementMessage['clock'];

/** Reads a message from another host; undefined when this version does not know it. */
export function parseMessage(text: string): ConsensusMessage | undefined {
  try {
    return consensusMessageSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

export function formatMessage(message: ConsensusMessage): string {
  return JSON.stringify(message);
}
