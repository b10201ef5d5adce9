import type { Logger } from 'pino';

import {
  resultCodes,
  type Clock,
  type ManagedPart,
  type Milliseconds,
} from '../../common/index.js';
import { RoutingService } from '../../generated/pistachiospoke/v1/routing_pb.js';
import type { RpcClientPool } from '../../wire/index.js';
import type { CrashLedger, PendingCrashes } from './crash-ledger.js';
import type { TrialDecisions } from './trial-grants.js';

/** Reports crashes, complete responses and wanted trials to the leader of control, and retries until they are recorded. */

const reportInterval: Milliseconds = 100;
const reportTimeout: Milliseconds = 1000;

export interface CrashReporterOptions {
  readonly gateway: string;
  /** `ip:port` of the leader; empty while none is known. */
  readonly findLeader: () => string;
  readonly takePending: () => PendingCrashes | undefined;
  /** Queues a report again if the leader may not have recorded it; safe because the leader counts each crash once. */
  readonly restorePending: (pending: PendingCrashes) => void;
  /** Called once the leader has recorded a report and decided on its trials. */
  readonly onRecorded: (pending: PendingCrashes, decisions: TrialDecisions) => void;
  readonly clients: RpcClientPool;
  readonly logger: Logger;
}

export class CrashReporter implements ManagedPart {
  readonly name = 'crash reporter';
  readonly #options: CrashReporterOptions;
  #timer: NodeJS.Timeout | undefined;
  #isReporting = false;

  constructor(options: CrashReporterOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      void this.#report();
    }, reportInterval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  async #report(): Promise<void> {
    const { findLeader, takePending, restorePending, onRecorded, logger } = this.#options;
    const leader = findLeader();
    const pending = this.#isReporting || leader === '' ? undefined : takePending();
    if (pending === undefined) {
      return;
    }
    this.#isReporting = true;
    try {
      onRecorded(pending, await this.#send(leader, pending));
    } catch (error) {
      restorePending(pending);
      logger.debug({ leader, error: String(error) }, 'failed to report crashes');
    }
    this.#isReporting = false;
  }

  async #send(
    leader: string,
    { crashes, answered, trials, returned }: PendingCrashes,
  ): Promise<TrialDecisions> {
    const { gateway, clients } = this.#options;
    const answer = await clients.client(RoutingService, leader).reportCrashes(
      {
        gateway,
        crashes: crashes.map(({ upstream, requests }) => ({ upstream, requests: [...requests] })),
        answered: [...answered],
        returned: [...returned],
        trials: trials.map(({ token, subjects, others }) => {
          return { token, subjects: [...subjects], others: [...others] };
        }),
      },
      { timeoutMs: reportTimeout },
    );
    if (answer.resultCode !== resultCodes.ok.number) {
      throw new Error(answer.message);
    }
    return answer;
  }
}

export interface LedgerReporterOptions extends Pick<
  CrashReporterOptions,
  'gateway' | 'findLeader' | 'clients' | 'logger'
> {
  readonly ledger: CrashLedger;
  readonly clock: Clock;
}

/** Creates a reporter of what a ledger has to report. */
export function createCrashReporter({
  ledger,
  clock,
  ...options
}: LedgerReporterOptions): CrashReporter {
  return new CrashReporter({
    ...options,
    takePending: () => ledger.takePending(),
    restorePending: (pending) => {
      ledger.restorePending(pending);
    },
    onRecorded: (pending, decisions) => {
      ledger.noteRecorded(pending, decisions, clock.monotonic());
    },
  });
}
