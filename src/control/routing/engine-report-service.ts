import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { Logger } from 'pino';

import { parseJson, type Clock } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import type { EngineView } from '../../engines/index.js';
import {
  EngineReportAnswerSchema,
  type EngineReport,
  type EngineReportAnswer,
} from '../../generated/pistachiospoke/v1/routing_pb.js';
import { engineFactsSchema } from '../../routing/index.js';
import type { CommandAnswer } from '../state/index.js';
import { EngineDirectory, type ReceivedReport } from './engine-directory.js';

/** Takes the reports of sidecars on their engines, on the leader. */

/** Options of the service. */
export interface EngineReportServiceOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each report that says something new. */
  readonly onChange: () => void;
  /** Model that the host is to stage now; undefined for none. */
  readonly findStaging: (host: string) => string | undefined;
}

export class EngineReportService {
  readonly #options: EngineReportServiceOptions;
  readonly #directory = new EngineDirectory();

  constructor(options: EngineReportServiceOptions) {
    this.#options = options;
  }

  describe(): ReadonlyMap<string, EngineView> {
    return this.#directory.describe(this.#options.clock.monotonic());
  }

  clear(): void {
    this.#directory.clear();
  }

  /** Handles one sidecar's stream until it ends; answers each report. */
  async *takeStream(messages: AsyncIterable<EngineReport>): AsyncGenerator<EngineReportAnswer> {
    for await (const message of messages) {
      if (this.#options.log.view().type !== 'leader') {
        throw new ConnectError('this control host is not the leader', Code.FailedPrecondition);
      }
      const report = decodeReport(message);
      const verdict = this.#directory.take(report, this.#options.clock.monotonic());
      if (verdict === 'factsMissing') {
        // The sidecar sends its facts first on every stream, so a new stream mends what is missing.
        throw new ConnectError('facts of this host are not known here', Code.FailedPrecondition);
      }
      if (verdict === 'changed') {
        this.#options.onChange();
      }
      const stagingModel = this.#options.findStaging(report.host) ?? '';
      yield create(EngineReportAnswerSchema, { stagingModel });
    }
  }
}

function decodeReport({ host, incarnation, sequence, facts }: EngineReport): ReceivedReport {
  return {
    host,
    incarnation,
    sequence: Number(sequence),
    facts: facts === '' ? undefined : parseFacts(facts),
  };
}

function parseFacts(text: string): ReceivedReport['facts'] {
  const parsed = engineFactsSchema.safeParse(parseJson(text));
  if (!parsed.success) {
    throw new ConnectError(`facts: ${parsed.error.message}`, Code.InvalidArgument);
  }
  return parsed.data;
}
