import { create } from '@bufbuild/protobuf';

import { assertNever, findResultCodeName, resultCodes } from '../common/index.js';
import {
  LeaseAnswerSchema,
  LeaseQuestionSchema,
  type LeaseAnswer as LeaseAnswerMessage,
  type LeaseQuestion as LeaseQuestionMessage,
} from '../generated/pistachiospoke/v1/lease_pb.js';
import type { LeaseAnswer, LeaseQuestion } from './messages.js';

/** Converts lease messages between their internal form and the wire format. */

export function encodeLeaseQuestion(question: LeaseQuestion): LeaseQuestionMessage {
  return create(LeaseQuestionSchema, {
    sequence: BigInt(question.sequence),
    group: question.group,
    fencingNumber: BigInt(question.fencingNumber),
    lead: question.lead,
    leadIncarnation: question.leadIncarnation,
    member: question.member,
    durationMilliseconds: Math.round(question.duration),
    release: question.isRelease,
  });
}

export function decodeLeaseQuestion(message: LeaseQuestionMessage): LeaseQuestion {
  return {
    sequence: Number(message.sequence),
    group: message.group,
    fencingNumber: Number(message.fencingNumber),
    lead: message.lead,
    leadIncarnation: message.leadIncarnation,
    member: message.member,
    duration: message.durationMilliseconds,
    isRelease: message.release,
  };
}

export function encodeLeaseAnswer(answer: LeaseAnswer): LeaseAnswerMessage {
  const message = create(LeaseAnswerSchema, {
    sequence: BigInt(answer.sequence),
    group: answer.group,
    fencingNumber: BigInt(answer.fencingNumber),
    member: answer.member,
    memberIncarnation: answer.memberIncarnation,
  });
  const { verdict } = answer;
  switch (verdict.type) {
    case 'granted':
      message.durationMilliseconds = Math.floor(verdict.duration);
      message.draining = verdict.isDraining;
      return message;
    case 'refused':
      message.resultCode = resultCodes[verdict.code].number;
      return message;
    case 'released':
      message.released = true;
      return message;
    default:
      return assertNever(verdict);
  }
}

export function decodeLeaseAnswer(message: LeaseAnswerMessage): LeaseAnswer {
  return {
    sequence: Number(message.sequence),
    group: message.group,
    fencingNumber: Number(message.fencingNumber),
    member: message.member,
    memberIncarnation: message.memberIncarnation,
    verdict: decodeVerdict(message),
  };
}

function decodeVerdict(message: LeaseAnswerMessage): LeaseAnswer['verdict'] {
  if (message.released) {
    return { type: 'released' };
  }
  if (message.resultCode !== resultCodes.ok.number) {
    return { type: 'refused', code: findResultCodeName(message.resultCode) };
  }
  return {
    type: 'granted',
    duration: message.durationMilliseconds,
    isDraining: message.draining,
  };
}
