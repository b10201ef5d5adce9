import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';

import {
  LeaseAnswerSchema,
  LeaseQuestionSchema,
} from '../../src/generated/pistachiospoke/v1/lease_pb.js';
import {
  LeaseAnswerReader,
  LeaseAnswerWriter,
  LeaseQuestionReader,
  LeaseQuestionWriter,
  type LeaseAnswer,
  type LeaseQuestion,
} from '../../src/lease/index.js';

const question: LeaseQuestion = {
  sequence: 7,
  group: 'assist/1',
  fencingNumber: 3,
  lead: 'a',
  leadIncarnation: 'a-1',
  member: 'b',
  duration: 2000,
  isRelease: false,
};
const answer: LeaseAnswer = {
  sequence: 7,
  group: 'assist/1',
  fencingNumber: 3,
  member: 'b',
  memberIncarnation: 'b-1',
  verdict: { type: 'granted', duration: 2000, isDraining: false },
};

describe('lease messages on a stream', () => {
  it('transmits complete questions, with names only where they change', () => {
    const writer = new LeaseQuestionWriter();
    const reader = new LeaseQuestionReader();
    const questions = [
      question,
      { ...question, sequence: 8 },
      { ...question, sequence: 9, isRelease: true },
      { ...question, sequence: 10, fencingNumber: 4 },
      { ...question, sequence: 11, fencingNumber: 4, duration: 500 },
    ];
    const bytes = questions.map((each) => toBinary(LeaseQuestionSchema, writer.write(each)));
    const read = bytes.map((each) => reader.read(fromBinary(LeaseQuestionSchema, each)));
    expect(read).toEqual(questions);
    expect(bytes.map((each) => each.length < 12)).toEqual([false, true, true, false, true]);
  });

  it('transmits complete answers, with names only where they change', () => {
    const writer = new LeaseAnswerWriter();
    const reader = new LeaseAnswerReader();
    const answers: readonly LeaseAnswer[] = [
      answer,
      { ...answer, sequence: 8, verdict: { type: 'refused', code: 'engineUnhealthy' } },
      { ...answer, sequence: 9, memberIncarnation: 'b-2' },
      { ...answer, sequence: 10, memberIncarnation: 'b-2', verdict: { type: 'released' } },
    ];
    const bytes = answers.map((each) => toBinary(LeaseAnswerSchema, writer.write(each)));
    const read = bytes.map((each) => reader.read(fromBinary(LeaseAnswerSchema, each)));
    expect(read).toEqual(answers);
  });

  it('rejects a stream that starts without names', () => {
    const writer = new LeaseQuestionWriter();
    writer.write(question);
    const message = writer.write({ ...question, sequence: 8 });
    expect(() => new LeaseQuestionReader().read(message)).toThrow('without names');
  });
});
