import { pause, type Clock, type Milliseconds } from '../../common/index.js';
import type { RouteTable } from '../../routing/index.js';
import type { RoutingView } from '../../watch/index.js';
import { maximumWait } from './maximum-wait.js';

/** Determines whether the routing document of a gateway may be used. */

const startPollInterval: Milliseconds = 20;

export interface DocumentGuardOptions {
  readonly readView: () => RoutingView;
  readonly clock: Clock;
  /** Time for which a confirmation by an up-to-date control host is valid. */
  readonly confirmationLifetime: Milliseconds;
}

export class DocumentGuard {
  readonly #options: DocumentGuardOptions;
  /** The shared wait for the first confirmed document; started by the first caller. */
  #starting: Promise<void> | undefined;
  #startDeadline: Milliseconds = 0;

  constructor(options: DocumentGuardOptions) {
    this.#options = options;
  }

  /** Undefined before the first document. */
  get table(): RouteTable | undefined {
    return this.#options.readView().table;
  }

  /**
   * Whether control has recently confirmed the document in force. A gateway that is cut off from control would otherwise continue to
   * accept keys that have been revoked since; it refuses requests until control confirms the document again.
   */
  get isConfirmed(): boolean {
    const { isSynchronized } = this.#options.readView();
    const age = this.#confirmationAge;
    return isSynchronized && age !== undefined && age < this.#options.confirmationLifetime;
  }

  get isUsable(): boolean {
    return this.table !== undefined && this.isConfirmed;
  }

  /** To be called when the gateway starts to listen; bounds the wait for the first document. */
  start(): void {
    this.#startDeadline = this.#options.clock.monotonic() + maximumWait;
  }

  /**
   * Waits until a document is usable, but not beyond the start deadline. A gateway that has just started receives its first document
   * within a few tenths of a second, or about a second later if control was started with it. Callers arrive as soon as a restarted gateway
   * listens; a refusal for lack of a document would use up a retry of theirs.
   */
  waitForStart(): Promise<void> {
    // All callers share one wait: hundreds arrive at once after a restart, and each would poll fifty times a second.
    this.#starting ??= this.#awaitDocument();
    return this.#starting;
  }

  async #awaitDocument(): Promise<void> {
    const { clock } = this.#options;
    let hasStarted = this.isUsable;
    while (!hasStarted && clock.monotonic() < this.#startDeadline) {
      await pause(startPollInterval, new AbortController().signal);
      hasStarted = this.isUsable;
    }
  }

  /** Log fields: the version of the document in force, and the age of its last confirmation in milliseconds. */
  describe(): object {
    const age = this.#confirmationAge;
    return {
      version: this.table?.document.version ?? null,
      vouchedAgo: age === undefined ? null : Math.round(age),
    };
  }

  get #confirmationAge(): Milliseconds | undefined {
    const { confirmedAt } = this.#options.readView();
    return confirmedAt === undefined ? undefined : this.#options.clock.monotonic() - confirmedAt;
  }
}
