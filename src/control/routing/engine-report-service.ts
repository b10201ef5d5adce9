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

/** Receives the engine reports of sidecars, on the leader. */

/** Options of the service. */
export interface EngineReportServiceOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called after each report that changes something. */
  readonly onChange: () => void;
  /** Model that the host should stage now; undefined for none. */
  readonly findStaging: (host: string) => string | undefined;
}

export class EngineReportService {
  readonly #options: EngineReportServiceOptions;
  readonly #directory = new EngineDirectory();

  constructor(options: EngineReportServiceOptions) {
    this.#options = options;
  }

  describeEngines(): ReadonlyMap<string, EngineView> {
    return this.#directory.describe(this.#options.clock.monotonic());
  }

  clear(): void {
    this.#directory.clear();
  }

  /** Handles the stream of one sidecar until it ends; answers each report. */
  async *handleStream(messages: AsyncIterable<EngineReport>): AsyncGenerator<EngineReportAnswer> {
    for await (const message of messages) {
      if (this.#options.log.view().type !== 'leader') {
        throw new ConnectError('this control host is not the leader', Code.FailedPrecondition);
      }
      const report = decodeReport(message);
      const verdict = this.#directory.update(report, this.#options.clock.monotonic());
      if (verdict === 'factsMissing') {
        // A sidecar sends its facts first on every stream, so reconnecting supplies the missing facts.
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
