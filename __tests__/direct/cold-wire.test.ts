import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';

import type { ColdAnswer, ColdReport } from '../../src/dispatch/index.js';
import {
  DemandAnswerSchema,
  DemandReportSchema,
} from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import {
  decodeColdAnswer,
  decodeColdReport,
  encodeColdAnswer,
  encodeColdReport,
} from '../../src/wire/index.js';

const notices = [{ upstream: 'i-1@1', coldFor: 1200.5, age: -300 }];
const upstreams = [{ upstream: 'i-1@1', wanted: 4, requestsPerSecond: 32, mostPerSecond: 53 }];

/** Guards against a field that is lost between gateway and leader; a missing acknowledgement would reserve an unused share. */
describe('messages on cold upstreams', () => {
  it.each([undefined, { term: 3, number: 9 }])(
    'keep all fields of a report: %j',
    (acknowledged) => {
      const report: ColdReport = { gateways: 17, acknowledged, requests: 6, upstreams, notices };
      const sent = create(DemandReportSchema, { cold: encodeColdReport(report) });
      const { cold } = fromBinary(DemandReportSchema, toBinary(DemandReportSchema, sent));
      expect(cold && decodeColdReport(cold)).toEqual(report);
    },
  );

  it('keep all fields of an answer', () => {
    const rates = new Map([['i-1@1', 3.5]]);
    const answer: ColdAnswer = { term: 3, number: 9, gateways: 17, rates, notices };
    const sent = create(DemandAnswerSchema, { cold: encodeColdAnswer(answer) });
    const { cold } = fromBinary(DemandAnswerSchema, toBinary(DemandAnswerSchema, sent));
    expect(cold && decodeColdAnswer(cold)).toEqual(answer);
  });
});
