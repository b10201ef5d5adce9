import { Err, Ok, type Result } from 'ts-results';
import type { Logger } from 'pino';

import { createFailure, type Clock, type Failure } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import type { CrashReport } from '../../generated/pistachiospoke/v1/routing_pb.js';
import { isTrialDue } from '../../routing/index.js';
import {
  hasExpiredCrash,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../state/index.js';
import { CommandBatcher, type CommandProposer } from './command-batcher.js';

/** Records crash reports from gateways in the replicated log; runs on the leader. */

type ReportedCrashes = Pick<CrashReport, 'crashes' | 'answered' | 'trials'>;

/** Answered subjects in one log line. */
const maximumLoggedSubjects = 50;

export interface CrashRecorderOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: CommandProposer;
  readonly readState: () => ControlState;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class CrashRecorder {
  readonly #options: CrashRecorderOptions;
  readonly #batcher: CommandBatcher<ReportedCrashes>;
  #isExpiring = false;

  constructor(options: CrashRecorderOptions) {
    this.#options = options;
    this.#batcher = new CommandBatcher(options.submitter, createCommand);
  }

  /** Resolves with the tokens of granted trials when the report is committed, or fails if its commit cannot be confirmed. */
  async record(report: CrashReport): Promise<Result<readonly string[], Failure>> {
    const { log, logger } = this.#options;
    if (log.view().type !== 'leader') {
      return new Err(createFailure('noQuorum', 'this control host is not the leader'));
    }
    const { gateway, crashes, answered } = report;
    const trials = report.trials.filter(({ request }) => this.#isTrialDue(request));
    if (crashes.length + answered.length + trials.length === 0) {
      return new Ok(this.#listGranted(report));
    }
    const upstreams = crashes.map(({ upstream }) => upstream);
    logger.info(
      { gateway, upstreams, answered: answered.slice(0, maximumLoggedSubjects) },
      'crashes reported',
    );
    const recorded = await this.#batcher.propose({ crashes, answered, trials });
    return recorded.map(() => this.#listGranted(report));
  }

  /** Spares the log commands that would grant nothing; the decision is made when the command is applied. */
  #isTrialDue(subject: string): boolean {
    const { readState, clock } = this.#options;
    const suspect = readState().routing.suspects.get(subject);
    return suspect !== undefined && isTrialDue(suspect, clock.wall());
  }

  /** Includes trials that were granted before, since the answer may have been lost. */
  #listGranted({ gateway, trials }: CrashReport): readonly string[] {
    const { suspects } = this.#options.readState().routing;
    const granted = trials.filter(({ request, token }) => {
      return suspects.get(request)?.trials?.some((trial) => trial.token === token) === true;
    });
    for (const { request } of granted) {
      this.#options.logger.info(
        { gateway, subject: request },
        'trial of quarantined subject granted',
      );
    }
    return granted.map(({ token }) => token);
  }

  /** Proposes a command that drops expired crashes. Called periodically on every control host; has no effect on followers. */
  expire(): void {
    const { log, readState, clock } = this.#options;
    const { suspects } = readState().routing;
    if (log.view().type !== 'leader' || this.#isExpiring) {
      return;
    }
    if (hasExpiredCrash(suspects, clock.wall())) {
      this.#isExpiring = true;
      void this.#batcher.propose({ crashes: [], answered: [], trials: [] }).then(() => {
        this.#isExpiring = false;
      });
    }
  }
}

function createCommand(reports: readonly ReportedCrashes[]): Command {
  const trials = reports.flatMap((report) => {
    return report.trials.map(({ request, token }) => ({ request, token }));
  });
  return {
    type: 'noteCrashes',
    at: 0,
    crashes: reports.flatMap(({ crashes }) => {
      return crashes.map(({ upstream, requests }) => ({ upstream, requests }));
    }),
    answered: reports.flatMap(({ answered }) => answered),
    ...(trials.length > 0 && { trials }),
  };
}
