/** Who takes part in the log, and what a quorum of them is. */

/** Name of a control host, unique by the settings. */
export type NodeName = string;

/** Identity of one data folder: made at random when the folder is created, so a lost disk never has an old one. */
export type StorageId = string;

/**
 * A member is a host *with a certain data folder*.
 * A host that lost its disk forgot its votes and its log; under its old name it could elect a second leader in a term or
 * let committed entries be overwritten. Its new storage id makes it a stranger until a committed change takes it in.
 */
export interface Member {
  readonly name: NodeName;
  readonly storageId: StorageId;
}

/** The members as of one log entry. */
export interface Membership {
  /** Members that vote and whose copies count. */
  readonly voters: readonly Member[];
  /** Members that are sent the log and count for nothing until they have caught up. */
  readonly learners: readonly Member[];
}

/** Before a first start formed, and on a blank disk. */
export const emptyMembership: Membership = { voters: [], learners: [] };

/** Voters needed for a decision. */
export function countQuorum(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Whether these storage ids hold a quorum; ids of others count for nothing. */
export function isQuorum(membership: Membership, storageIds: ReadonlySet<StorageId>): boolean {
  const voters = membership.voters.filter((voter) => storageIds.has(voter.storageId));
  return voters.length >= countQuorum(membership);
}

/** The highest value that a quorum of the voters has reached; undefined without voters. */
export function findQuorumValue(
  membership: Membership,
  valueOf: (voter: Member) => number,
): number | undefined {
  const values = membership.voters.map(valueOf).sort((left, right) => right - left);
  return values[countQuorum(membership) - 1];
}

export function isVoter(membership: Membership, storageId: StorageId): boolean {
  return membership.voters.some((voter) => voter.storageId === storageId);
}

export function isMember(membership: Membership, storageId: StorageId): boolean {
  return listMembers(membership).some((member) => member.storageId === storageId);
}

/** Voters first, then learners. */
export function listMembers(membership: Membership): readonly Member[] {
  return [...membership.voters, ...membership.learners];
}

/** The member of a name, whichever data folder it has. */
export function findMember(membership: Membership, name: NodeName): Member | undefined {
  return listMembers(membership).find((member) => member.name === name);
}

/**
 * Takes a data folder in as a learner, and the host's earlier one out.
 * At most one voter changes by it, so that quorums before and after share a voter.
 */
export function admitMember(membership: Membership, admitted: Member): Membership {
  const isOther = (member: Member): boolean => member.name !== admitted.name;
  return {
    voters: membership.voters.filter(isOther),
    learners: [...membership.learners.filter(isOther), admitted],
  };
}

export function removeMember(membership: Membership, name: NodeName): Membership {
  const isOther = (member: Member): boolean => member.name !== name;
  return {
    voters: membership.voters.filter(isOther),
    learners: membership.learners.filter(isOther),
  };
}

/** Lets a learner vote and count. */
export function promoteLearner(membership: Membership, learner: Member): Membership {
  const isOther = (member: Member): boolean => member.storageId !== learner.storageId;
  return {
    voters: [...membership.voters, learner],
    learners: membership.learners.filter(isOther),
  };
}
