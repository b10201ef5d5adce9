import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';

import {
  DemandReportSchema,
  ModelOutcomeSchema,
  UpstreamLimitSchema,
  type DemandReport,
} from '../../src/generated/pistachiospoke/v1/routing_pb.js';
import { EntryCounter, MalformedMessageError } from '../../src/wire/entry-counter.js';

const limits = fc.array(fc.record({ upstream: fc.string(), age: fc.double({ noNaN: true }) }));
const outcome = fc.record({ inTime: fc.nat(), refused: fc.nat() });
const report = fc
  .record({
    requests: fc.dictionary(fc.string(), fc.double({ noNaN: true })),
    limits,
    wanted: fc.dictionary(fc.string(), fc.nat()),
    outcomes: fc.dictionary(fc.string(), outcome),
  })
  .map((fields): DemandReport => {
    const limitMessages = fields.limits.map((limit) => create(UpstreamLimitSchema, limit));
    const outcomes = Object.entries(fields.outcomes).map(([name, outcome]) => {
      return [name, create(ModelOutcomeSchema, outcome)] as const;
    });
    return create(DemandReportSchema, {
      ...fields,
      limits: limitMessages,
      outcomes: Object.fromEntries(outcomes),
    });
  });

/** Entries of all lists and maps. */
function countListed({ requests, limits, wanted, returned, outcomes }: DemandReport): number {
  const maps = [requests, wanted, returned, outcomes].map((map) => Object.keys(map).length);
  return limits.length + maps.reduce((sum, size) => sum + size, 0);
}

function count(bytes: Uint8Array, pieceSize: number): number {
  const counter = new EntryCounter(DemandReportSchema);
  for (let at = 0; at < bytes.length; at += pieceSize) {
    counter.push(bytes.subarray(at, at + pieceSize));
  }
  return counter.count;
}

function read(bytes: Uint8Array): DemandReport | undefined {
  try {
    return fromBinary(DemandReportSchema, bytes, { readUnknownFields: false });
  } catch {
    return undefined;
  }
}

// Guards against messages whose lists grow beyond the limit because they are counted in another way than they are decoded.
describe('the entries of a message', () => {
  it('are counted in pieces of any size', () => {
    fc.assert(
      fc.property(report, fc.integer({ min: 1, max: 9 }), (message, pieceSize) => {
        const bytes = toBinary(DemandReportSchema, message);
        const counted = count(bytes, bytes.length + 1);
        expect(counted).toBeGreaterThanOrEqual(countListed(message));
        expect(count(bytes, pieceSize)).toBe(counted);
      }),
      { seed: 71 },
    );
  });

  it('are no fewer than the decoder finds, whatever the bytes are', () => {
    const change = fc.record({ at: fc.nat(), byte: fc.integer({ min: 0, max: 255 }) });
    fc.assert(
      fc.property(report, fc.array(change, { maxLength: 4 }), (message, changes) => {
        const bytes = toBinary(DemandReportSchema, message);
        changes.forEach(({ at, byte }) => {
          bytes[at % Math.max(1, bytes.length)] = byte;
        });
        const decoded = read(bytes);
        let counted: number;
        try {
          counted = count(bytes, bytes.length + 1);
        } catch (error) {
          expect(error).toBeInstanceOf(MalformedMessageError);
          return;
        }
        expect(counted).toBeGreaterThanOrEqual(decoded === undefined ? 0 : countListed(decoded));
      }),
      { seed: 71, numRuns: 5000 },
    );
  });
});
