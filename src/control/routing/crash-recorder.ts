import { Err, Ok, type Result } from 'ts-results';
import type { Logger } from 'pino';

import { createFailure, type Clock, type Failure, type Milliseconds } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import type { CrashReport, TrialRequest } from '../../generated/pistachiospoke/v1/routing_pb.js';
import { findTrialTime, hasTrial, selectTrials } from '../../routing/index.js';
import {
  hasExpiredCrash,
  type Command,
  type CommandAnswer,
  type ControlState,
} from '../state/index.js';
import { CommandBatcher, type CommandProposer } from './command-batcher.js';

/** Records crash reports from gateways in the replicated log; runs on the leader. */

type ReportedCrashes = Pick<CrashReport, 'crashes' | 'answered' | 'trials' | 'returned'>;

/** Delay until a gateway asks again for a trial of a subject that gets no more of them, unless an operator releases it. */
const longestRetryAfter: Milliseconds = 60_000;
/** Answered subjects in one log line. */
const maximumLoggedSubjects = 50;

/** When a trial of a subject may be asked for again. */
export interface TrialRefusal {
  readonly subject: string;
  /** 0 if a trial is due, but for a request with other subjects. */
  readonly retryAfterMilliseconds: Milliseconds;
}

export interface TrialDecisions {
  /** Tokens of the trials. */
  readonly granted: readonly string[];
  readonly refused: readonly TrialRefusal[];
}

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

  /** Resolves with the decisions on the wanted trials when the report is committed, or fails if its commit cannot be confirmed. */
  async record(report: CrashReport): Promise<Result<TrialDecisions, Failure>> {
    const { log, logger } = this.#options;
    if (log.view().type !== 'leader') {
      return new Err(createFailure('noQuorum', 'this control host is not the leader'));
    }
    const { gateway, crashes, answered, returned } = report;
    const trials = report.trials.filter((wanted) => this.#isGrantable(wanted));
    if (crashes.length + answered.length + trials.length + returned.length === 0) {
      return new Ok(this.#readDecisions(report));
    }
    const upstreams = crashes.map(({ upstream }) => upstream);
    logger.info(
      { gateway, upstreams, answered: answered.slice(0, maximumLoggedSubjects) },
      'crashes reported',
    );
    const recorded = await this.#batcher.propose({ crashes, answered, trials, returned });
    return recorded.map(() => this.#readDecisions(report));
  }

  /** Spares the log commands that would grant nothing; the decision is made when the command is applied. */
  #isGrantable({ subjects, others }: TrialRequest): boolean {
    const { readState, clock } = this.#options;
    const { suspects } = readState().routing;
    return selectTrials(suspects, { subjects, others }, clock.wall()) !== undefined;
  }

  /** Includes trials that were granted before, since the answer may have been lost. */
  #readDecisions({ gateway, trials }: CrashReport): TrialDecisions {
    const { suspects } = this.#options.readState().routing;
    const granted: string[] = [];
    const refused: TrialRefusal[] = [];
    for (const { subjects, token } of trials) {
      if (subjects.some((subject) => hasTrial(suspects.get(subject), token))) {
        this.#options.logger.info({ gateway, subjects }, 'trial of quarantined subjects granted');
        granted.push(token);
      } else {
        refused.push(...subjects.map((subject) => this.#refuse(subject)));
      }
    }
    return { granted, refused };
  }

  #refuse(subject: string): TrialRefusal {
    const { readState, clock } = this.#options;
    const suspect = readState().routing.suspects.get(subject);
    const trialTime = suspect === undefined ? 0 : findTrialTime(suspect);
    const delay = (trialTime ?? Number.POSITIVE_INFINITY) - clock.wall();
    const retryAfterMilliseconds = Math.ceil(Math.max(0, Math.min(delay, longestRetryAfter)));
    return { subject, retryAfterMilliseconds };
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
      void this.#batcher
        .propose({ crashes: [], answered: [], trials: [], returned: [] })
        .then(() => {
          this.#isExpiring = false;
        });
    }
  }
}

function createCommand(reports: readonly ReportedCrashes[]): Command {
  const trials = reports.flatMap((report) => {
    return report.trials.map(({ subjects, token, others }) => {
      return { subjects, token, ...(others.length > 0 && { others }) };
    });
  });
  const returned = reports.flatMap((report) => report.returned);
  return {
    type: 'noteCrashes',
    at: 0,
    crashes: reports.flatMap(({ crashes }) => {
      return crashes.map(({ upstream, requests }) => ({ upstream, requests }));
    }),
    answered: reports.flatMap(({ answered }) => answered),
    ...(trials.length > 0 && { trials }),
    ...(returned.length > 0 && { returned }),
  };
}
