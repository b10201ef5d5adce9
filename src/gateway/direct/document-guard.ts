import { pause, type Clock, type Milliseconds } from '../../common/index.js';
import type { RouteTable } from '../../routing/index.js';
import type { RoutingView } from '../../watch/index.js';

/** Says whether the routing document of a gateway may be used. */

/**
 * A gateway that has just started has its first document within a few tenths of a second, and about a second later where control
 * was started with it. Callers wait for that; those of streams leave after two seconds.
 */
const longestStart: Milliseconds = 1800;
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
  /** Whether there was ever a document that control vouched for. */
  #hasStarted = false;
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
    this.#startsBy = this.#options.clock.monotonic() + longestStart;
  }

  /** Callers come as soon as a restarted gateway listens; refused for want of a document, they would have used up a retry. */
  async waitForStart(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#hasStarted && clock.monotonic() < this.#startsBy) {
      this.#hasStarted = this.isUsable;
      if (!this.#hasStarted) {
        await pause(startPollInterval, new AbortController().signal);
      }
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
