/** The members of the replicated log and their quorum. */

/** Name of a control host; the settings make it unique. */
export type NodeName = string;

/** Identity of one data folder, drawn at random when the folder is created, so a replaced disk never reuses an old id. */
export type StorageId = string;

/**
 * A member is a host *with a certain data folder*.
 * A host that lost its disk has lost its votes and its log. Identified by name alone, it could help to elect a second
 * leader in a term, or let committed entries be overwritten. Because its storage id is new, it is not a member until a
 * membership change admits it.
 */
export interface Member {
  readonly name: NodeName;
  readonly storageId: StorageId;
}

/** The members as of one log entry. */
export interface Membership {
  /** Members that vote in elections and count towards the commit quorum. */
  readonly voters: readonly Member[];
  /** Members that receive the log without a vote until they have caught up. */
  readonly learners: readonly Member[];
}

/** The membership before the cluster has formed, and of a blank data folder. */
export const emptyMembership: Membership = { voters: [], learners: [] };

/** Number of voters in a quorum. */
export function countQuorum(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Whether these storage ids include a quorum of the voters; ids of other hosts are ignored. */
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

/** The member with this host name, whatever its data folder. */
export function findMember(membership: Membership, name: NodeName): Member | undefined {
  return listMembers(membership).find((member) => member.name === name);
}

/**
 * Adds a data folder as a learner and removes the host's earlier one.
 * This changes at most one voter, so that any quorum before the change shares a voter with any quorum after it.
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

/** Makes a learner a voter. */
export function promoteLearner(membership: Membership, learner: Member): Membership {
  const isOther = (member: Member): boolean => member.storageId !== learner.storageId;
  return {
    voters: [...membership.voters, learner],
    learners: membership.learners.filter(isOther),
  };
}
