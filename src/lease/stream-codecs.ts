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
 * Compact encoding of the lease messages on one stream between a lead and a member.
 * A stream belongs to one placement. Names make up most of the bytes of lease traffic, so they are sent only in the
 * first message and left empty in later ones, unless they change.
 */

/** Writes the questions of one stream, omitting unchanged names. */
export class LeaseQuestionWriter {
  #first: LeaseQuestion | undefined;

  write(question: LeaseQuestion): LeaseQuestionMessage {
    const message = encodeLeaseQuestion(question);
    if (this.#first === undefined || !hasSameQuestionNames(this.#first, question)) {
      this.#first = question;
      return message;
    }
    return { ...message, group: '', fencingNumber: 0n, lead: '', leadIncarnation: '', member: '' };
  }
}

/** Reads the questions of one stream, filling in omitted names. */
export class LeaseQuestionReader {
  #first: LeaseQuestion | undefined;

  /** Throws if the message omits its names and no earlier message of the stream had them. */
  read(message: LeaseQuestionMessage): LeaseQuestion {
    const question = decodeLeaseQuestion(message);
    if (question.group !== '') {
      this.#first = question;
      return question;
    }
    if (this.#first === undefined) {
      throw new Error('lease stream started without names in its first message');
    }
    const { sequence, duration, isRelease } = question;
    return { ...this.#first, sequence, duration, isRelease };
  }
}

/** Writes the answers of one stream, omitting unchanged names. */
export class LeaseAnswerWriter {
  #first: LeaseAnswer | undefined;

  write(answer: LeaseAnswer): LeaseAnswerMessage {
    const message = encodeLeaseAnswer(answer);
    if (this.#first === undefined || !hasSameAnswerNames(this.#first, answer)) {
      this.#first = answer;
      return message;
    }
    return { ...message, group: '', fencingNumber: 0n, member: '', memberIncarnation: '' };
  }
}

/** Reads the answers of one stream, filling in omitted names. */
export class LeaseAnswerReader {
  #first: LeaseAnswer | undefined;

  /** Throws if the message omits its names and no earlier message of the stream had them. */
  read(message: LeaseAnswerMessage): LeaseAnswer {
    const answer = decodeLeaseAnswer(message);
    if (answer.group !== '') {
      this.#first = answer;
      return answer;
    }
    if (this.#first === undefined) {
      throw new Error('lease stream started without names in its first message');
    }
    const { sequence, verdict } = answer;
    return { ...this.#first, sequence, verdict };
  }
}

function hasSameQuestionNames(left: LeaseQuestion, right: LeaseQuestion): boolean {
  return (
    left.fencingNumber === right.fencingNumber &&
    left.group === right.group &&
    left.lead === right.lead &&
    left.leadIncarnation === right.leadIncarnation &&
    left.member === right.member
  );
}

function hasSameAnswerNames(left: LeaseAnswer, right: LeaseAnswer): boolean {
  return (
    left.fencingNumber === right.fencingNumber &&
    left.group === right.group &&
    left.member === right.member &&
    left.memberIncarnation === right.memberIncarnation
  );
}
