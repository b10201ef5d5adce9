import { pause, type Clock, type Milliseconds } from '../../common/index.js';
import type { RouteTable } from '../../routing/index.js';
import type { RoutingView } from '../../watch/index.js';
import { longestHold } from './longest-hold.js';

/** Says whether the routing document of a gateway may be used. */

const startPollInterval: Milliseconds = 20;

/** Options of the guard. */
export interface DocumentGuardOptions {
  readonly readView: () => RoutingView;
  readonly clock: Clock;
  /** Longest time without word of a control host that is up to date. */
  readonly longestSilence: Milliseconds;
}

export class DocumentGuard {
  readonly #options: DocumentGuardOptions;
  /** The wait for the first document that control vouches for, which the first caller begins. */
  #starting: Promise<void> | undefined;
  #startsBy: Milliseconds = 0;

  constructor(options: DocumentGuardOptions) {
    this.#options = options;
  }

  /** Undefined before the first document. */
  get table(): RouteTable | undefined {
    return this.#options.readView().table;
  }

  /**
   * Whether control vouched lately for what this gateway has in force. A gateway that was cut off would go on serving keys
   * that were taken away since; it refuses until it hears from control again.
   */
  get isVouched(): boolean {
    const { isSynchronized } = this.#options.readView();
    const age = this.#vouchAge;
    return isSynchronized && age !== undefined && age < this.#options.longestSilence;
  }

  get isUsable(): boolean {
    return this.table !== undefined && this.isVouched;
  }

  /** The gateway begins to listen. */
  start(): void {
    this.#startsBy = this.#options.clock.monotonic() + longestHold;
  }

  /**
   * A gateway that has just started has its first document within a few tenths of a second, and about a second later where control
   * was started with it. Callers come as soon as a restarted gateway listens; refused for want of a document, they would have used up a retry.
   */
  waitForStart(): Promise<void> {
    // One wait for all callers: some hundreds come at once after a restart, and each would look fifty times a second.
    this.#starting ??= this.#awaitDocument();
    return this.#starting;
  }

  async #awaitDocument(): Promise<void> {
    const { clock } = this.#options;
    let hasStarted = this.isUsable;
    while (!hasStarted && clock.monotonic() < this.#startsBy) {
      await pause(startPollInterval, new AbortController().signal);
      hasStarted = this.isUsable;
    }
  }

  /** For logs: the document in force, and how old control's word on it is in milliseconds. */
  describe(): object {
    const age = this.#vouchAge;
    return {
      version: this.table?.document.version ?? null,
      vouchedAgo: age === undefined ? null : Math.round(age),
    };
  }

  get #vouchAge(): Milliseconds | undefined {
    const { vouchedAt } = this.#options.readView();
    return vouchedAt === undefined ? undefined : this.#options.clock.monotonic() - vouchedAt;
  }
}
