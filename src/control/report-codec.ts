import { create } from '@bufbuild/protobuf';

import {
  HostReportSchema,
  type HostReport as HostReportMessage,
} from '../generated/pistachiospoke/v1/control_pb.js';
import {
  decodeGroupHealth,
  decodeHostFacts,
  encodeGroupHealth,
  encodeHostFacts,
} from '../wire/index.js';
import type { HostReport } from './host-directory.js';

/** Converts between a sidecar's report and its wire message. */

export function decodeReport(message: HostReportMessage): HostReport {
  const { host, incarnation, draining } = message;
  return {
    host,
    incarnation,
    facts:
      message.facts === undefined
        ? undefined
        : decodeHostFacts(message.facts, host, incarnation, draining),
    configurationRevision: Number(message.configurationRevision),
    groups: message.groups.map(decodeGroupHealth),
    isDraining: draining,
    isLeaving: message.leaving,
    sequence: Number(message.sequence),
    factsSequence: Number(message.factsSequence),
  };
}

export function encodeReport(report: HostReport): HostReportMessage {
  return create(HostReportSchema, {
    host: report.host,
    incarnation: report.incarnation,
    configurationRevision: BigInt(report.configurationRevision),
    groups: report.groups.map(encodeGroupHealth),
    draining: report.isDraining,
    leaving: report.isLeaving,
    sequence: BigInt(report.sequence),
    factsSequence: BigInt(report.factsSequence),
    ...(report.facts === undefined ? {} : { facts: encodeHostFacts(report.facts) }),
  });
}
