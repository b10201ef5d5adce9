import {
  type LeaseAnswer as LeaseAnswerMessage,
  type LeaseQuestion as LeaseQuestionMessage,
} from '../generated/pistachiospoke/v1/lease_pb.js';
import {
  decodeLeaseAnswer,
  decodeLeaseQuestion,
  encodeLeaseAnswer,
  encodeLeaseQuestion,
} from './codecs.js';
import type { LeaseAnswer, LeaseQuestion } from './messages.js';

/**
 * Lease messages on one stream between a lead and a member.
 * The stream belongs to one placement: names go once, in its first message, and are left empty in the others, which
 * are most of the bytes that leases cost.
 */

/** Writes the questions of one stream. */
export class LeaseQuestionWriter {
  #first: LeaseQuestion | undefined;

  write(question: LeaseQuestion): LeaseQuestionMessage {
    const message = encodeLeaseQuestion(question);
    if (this.#first === undefined || !isSameAsker(this.#first, question)) {
      this.#first = question;
      return message;
    }
    return { ...message, group: '', fencingNumber: 0n, lead: '', leadIncarnation: '', member: '' };
  }
}

/** Reads the questions of one stream. */
export class LeaseQuestionReader {
  #first: LeaseQuestion | undefined;

  /** Throws for a message without names on a stream that gave none before. */
  read(message: LeaseQuestionMessage): LeaseQuestion {
    const question = decodeLeaseQuestion(message);
    if (question.group !== '') {
      this.#first = question;
      return question;
    }
    if (this.#first === undefined) {
      throw new Error('a lease stream began without names');
    }
    const { sequence, duration, isRelease } = question;
    return { ...this.#first, sequence, duration, isRelease };
  }
}

/** Writes the answers of one stream. */
export class LeaseAnswerWriter {
  #first: LeaseAnswer | undefined;

  write(answer: LeaseAnswer): LeaseAnswerMessage {
    const message = encodeLeaseAnswer(answer);
    if (this.#first === undefined || !isSameAnswerer(this.#first, answer)) {
      this.#first = answer;
      return message;
    }
    return { ...message, group: '', fencingNumber: 0n, member: '', memberIncarnation: '' };
  }
}

/** Reads the answers of one stream. */
export class LeaseAnswerReader {
  #first: LeaseAnswer | undefined;

  /** Throws for a message without names on a stream that gave none before. */
  read(message: LeaseAnswerMessage): LeaseAnswer {
    const answer = decodeLeaseAnswer(message);
    if (answer.group !== '') {
      this.#first = answer;
      return answer;
    }
    if (this.#first === undefined) {
      throw new Error('a lease stream began without names');
    }
    const { sequence, verdict } = answer;
    return { ...this.#first, sequence, verdict };
  }
}

function isSameAsker(left: LeaseQuestion, right: LeaseQuestion): boolean {
  return (
    left.fencingNumber === right.fencingNumber &&
    left.group === right.group &&
    left.lead === right.lead &&
    left.leadIncarnation === right.leadIncarnation &&
    left.member === right.member
  );
}

function isSameAnswerer(left: LeaseAnswer, right: LeaseAnswer): boolean {
  return (
    left.fencingNumber === right.fencingNumber &&
    left.group === right.group &&
    left.member === right.member &&
    left.memberIncarnation === right.memberIncarnation
  );
}
