import type { MessageInitShape } from '@bufbuild/protobuf';

import type { ColdAnswer, ColdNotice, ColdReport } from '../dispatch/index.js';
import type {
  ColdAcknowledgement as AcknowledgementMessage,
  ColdAnswer as ColdAnswerMessage,
  ColdAnswerSchema,
  ColdNotice as ColdNoticeMessage,
  ColdReport as ColdReportMessage,
  ColdReportSchema,
} from '../generated/pistachiospoke/v1/routing_pb.js';

/** Conversion of reports and answers on cold upstreams to and from their wire format. */

export function encodeColdReport(report: ColdReport): MessageInitShape<typeof ColdReportSchema> {
  const { gateways, acknowledged, requests, upstreams, notices } = report;
  return {
    gateways,
    requests,
    upstreams: [...upstreams],
    notices: [...notices],
    ...(acknowledged === undefined
      ? {}
      : { acknowledged: { term: BigInt(acknowledged.term), number: acknowledged.number } }),
  };
}

export function decodeColdReport(message: ColdReportMessage): ColdReport {
  const { gateways, acknowledged, requests, upstreams, notices } = message;
  return {
    gateways,
    acknowledged: acknowledged === undefined ? undefined : decodeAcknowledgement(acknowledged),
    requests,
    upstreams: upstreams.map(({ upstream, wanted, requestsPerSecond, mostPerSecond }) => {
      return { upstream, wanted, requestsPerSecond, mostPerSecond };
    }),
    notices: notices.map(decodeNotice),
  };
}

export function encodeColdAnswer(answer: ColdAnswer): MessageInitShape<typeof ColdAnswerSchema> {
  const { term, number, gateways, rates, notices } = answer;
  return {
    answer: { term: BigInt(term), number },
    gateways,
    rates: Object.fromEntries(rates),
    notices: [...notices],
  };
}

/** Returns undefined if the message does not say which answer it is. */
export function decodeColdAnswer(message: ColdAnswerMessage): ColdAnswer | undefined {
  const { answer, gateways, rates, notices } = message;
  if (answer === undefined) {
    return undefined;
  }
  return {
    ...decodeAcknowledgement(answer),
    gateways,
    rates: new Map(Object.entries(rates)),
    notices: notices.map(decodeNotice),
  };
}

function decodeAcknowledgement({ term, number }: AcknowledgementMessage) {
  return { term: Number(term), number };
}

function decodeNotice({ upstream, coldFor, age }: ColdNoticeMessage): ColdNotice {
  return { upstream, coldFor, age };
}
