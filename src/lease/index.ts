export {
  decodeLeaseAnswer,
  decodeLeaseQuestion,
  encodeLeaseAnswer,
  encodeLeaseQuestion,
} from './codecs.js';
export {
  LeaseLead,
  questionsPerLease,
  type LeaseLeadEffect,
  type LeaseLeadEvent,
  type LeaseLeadOptions,
} from './lead.js';
export {
  defaultLongestLease,
  LeaseMember,
  type LeaseHolder,
  type LeaseMemberEffect,
  type LeaseMemberEvent,
  type LeaseMemberOptions,
} from './member.js';
export { driftMargin, type LeaseAnswer, type LeaseQuestion } from './messages.js';
export {
  LeaseAnswerReader,
  LeaseAnswerWriter,
  LeaseQuestionReader,
  LeaseQuestionWriter,
} from './stream-codecs.js';
