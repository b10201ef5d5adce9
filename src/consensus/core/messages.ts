import { z } from 'zod';

import { logEntrySchema, membershipSchema } from './entry.js';

/** Messages between control hosts, sent as JSON text inside a ConsensusEnvelope. */

/** Fields of every message. */
const header = {
  /** Storage id of the sender. */
  sender: z.string(),
  /** Storage id of the recipient; a host with another one drops the message. Absent: any recipient. */
  recipient: z.string().optional(),
};

/** Fields of every answer to a leader: which message it answers, and the follower's clock. */
const acknowledgement = {
  term: z.int(),
  /** Round of the leader's message. */
  round: z.int(),
  /** The leader's clock when it sent that message. */
  sentAt: z.number(),
  /** The follower's clock and incarnation, for the leader to echo. */
  clock: z.strictObject({ incarnation: z.int(), at: z.number() }).readonly(),
};

/** Fields of every message of a leader. */
const leaderHeader = {
  ...header,
  term: z.int(),
  /** Number of this leader's broadcast; a read waits for a round that started after the read was requested. */
  round: z.int(),
  sentAt: z.number(),
  /** Latest clock reading that the leader has received from this follower. */
  echo: z.strictObject({ incarnation: z.int(), at: z.number() }).readonly().optional(),
  /** Time between the leader's last confirmed quorum and this message. */
  quorumAge: z.number(),
};

const candidacy = { ...header, term: z.int(), lastIndex: z.int(), lastTerm: z.int() };

/** Asks whether the sender could win an election, before it raises its term, so that a partitioned host disrupts nobody. */
const preVote = z.strictObject({ type: z.literal('preVote'), ...candidacy }).readonly();

const preVoteAnswer = z
  .strictObject({
    type: z.literal('preVoteAnswer'),
    ...header,
    /** The voter's own term. */
    term: z.int(),
    /** The term of the election that the candidate would start. */
    proposedTerm: z.int(),
    isGranted: z.boolean(),
  })
  .readonly();

const vote = z
  .strictObject({
    type: z.literal('vote'),
    ...candidacy,
    /** The leader itself asked for this election, so voters grant it even while they hear that leader. */
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

/** Entries after a position; a heartbeat if there are none. */
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
    /** The follower's synced log matches the leader's up to this index. */
    matchIndex: z.int(),
  })
  .readonly();

const appendRejected = z
  .strictObject({
    type: z.literal('appendRejected'),
    ...header,
    ...acknowledgement,
    previousIndex: z.int(),
    /** First index from which the leader must resend. */
    wantedIndex: z.int(),
  })
  .readonly();

/** One chunk of a snapshot, for a follower whose next entry was compacted away. */
const snapshotChunk = z
  .strictObject({
    type: z.literal('snapshotChunk'),
    ...leaderHeader,
    snapshotIndex: z.int(),
    snapshotTerm: z.int(),
    membership: membershipSchema,
    /** In UTF-16 code units of the snapshot's JSON text. */
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

/** Tells a leader of an older term that there is a higher term. */
const staleTerm = z
  .strictObject({ type: z.literal('staleTerm'), ...header, term: z.int() })
  .readonly();

/** A leader that is about to stop asks a follower with the whole log to start an election at once. */
const electionInvitation = z
  .strictObject({ type: z.literal('electionInvitation'), ...header, term: z.int() })
  .readonly();

/** A host that is not a member or hears no leader announces its data folder, so that a leader can admit it. */
const greeting = z.strictObject({ type: z.literal('greeting'), ...header }).readonly();

/** The coordinator of the cluster formation asks whether a host's data folder is blank. */
const formationInquiry = z
  .strictObject({ type: z.literal('formationInquiry'), ...header, nonce: z.int() })
  .readonly();

const formationBlank = z
  .strictObject({ type: z.literal('formationBlank'), ...header, nonce: z.int() })
  .readonly();

/** Sent once every host has confirmed that it is blank: asks for the promise to join this cluster formation. */
const formationQuestion = z
  .strictObject({
    type: z.literal('formationQuestion'),
    ...header,
    nonce: z.int(),
    voters: membershipSchema.unwrap().shape.voters,
  })
  .readonly();

/** Synced before it is sent: this data folder will join no other cluster formation. */
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

/** A reading of a follower's clock; comparable only with readings of the same incarnation. */
export type FollowerClock = AcknowledgementMessage['clock'];

/** Parses a message from another host; undefined when this version does not know its format. */
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
