import type { Logger } from 'pino';

import type { Clock, ManagedPart, Milliseconds } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import {
  planPlacement,
  type PlacementDecision,
  type PlacementInput,
} from '../../placement/index.js';
import type { HostDirectory } from '../host-directory.js';
import {
  applyHostOverride,
  drainEvacuated,
  type CommandAnswer,
  type ControlState,
} from '../state/index.js';
import type { CommandSubmitter } from './command-submitter.js';
import type { HostObserver } from './host-observer.js';

/** Runs the placement planner periodically on the leader, and commits its decisions. */

const interval: Milliseconds = 250;
/** How long a new leader collects reports before it plans; until then a host without a report is not taken for lost. */
const settleTime: Milliseconds = 3000;
/** Longer limit while a group member has not reported; a member that has not reported by then is taken for lost. */
const maxSettleTime: Milliseconds = 15_000;

const estimates = { loadDuration: 60_000, handover: 2000, hostUnavailability: 0.01 };

/** Options of the placement loop. */
export interface PlacementLoopOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: Pick<CommandSubmitter, 'proposeLocally'>;
  readonly directory: HostDirectory;
  readonly readState: () => ControlState;
  readonly observer: HostObserver;
  readonly onPlacement: (isCommitted: boolean) => void;
  readonly clock: Clock;
  readonly logger: Logger;
}

export class PlacementLoop implements ManagedPart {
  readonly name = 'placement loop';
  readonly #options: PlacementLoopOptions;
  #timer: NodeJS.Timeout | undefined;
  #leadingSince: Milliseconds | undefined;
  /** Stays true while this host is the leader, because a member that leaves later also becomes unknown. */
  #hasSettled = false;
  #isSubmitting = false;

  constructor(options: PlacementLoopOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      void this.#step();
    }, interval);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  async #step(): Promise<void> {
    const { log, clock } = this.#options;
    const now = clock.monotonic();
    if (log.view().type !== 'leader') {
      this.#leadingSince = undefined;
      this.#hasSettled = false;
      return;
    }
    this.#leadingSince ??= now;
    const state = this.#options.readState();
    this.#hasSettled ||= this.#isSettled(state, now - this.#leadingSince);
    if (this.#isSubmitting || !this.#hasSettled) {
      return;
    }
    const decision = planPlacement(this.#createInput(state));
    if (decision.place.length === 0 && decision.dissolve.length === 0) {
      return;
    }
    await this.#commit(decision, state.index);
  }

  #isSettled(state: ControlState, leadingFor: Milliseconds): boolean {
    const known = this.#options.directory.read();
    const members = [...state.groups.values()].flatMap((group) => group.members);
    const isEachKnown = members.every((member) => known.has(member.host));
    return leadingFor >= (isEachKnown ? settleTime : maxSettleTime);
  }

  #createInput(state: ControlState): PlacementInput {
    const { directory, observer } = this.#options;
    const hosts = [...directory.read().values()].map((host) => ({
      facts: drainEvacuated(
        applyHostOverride(host.facts, state.overrides.get(host.facts.host)),
        state.routing.evacuations,
      ),
      availability: observer.availabilityOf(host.facts.host),
    }));
    const groups = [...state.groups.values()].map((group) => ({
      group,
      health: directory.findHealth(group),
      incompleteFor: observer.incompleteFor(group),
    }));
    return {
      configuration: state.configuration,
      hosts,
      groups,
      estimates,
      isIsolationSuspected: observer.isWatcherSuspected,
    };
  }

  async #commit(decision: PlacementDecision, basedOn: number): Promise<void> {
    const { submitter, logger } = this.#options;
    const { place, dissolve, notes } = decision;
    this.#isSubmitting = true;
    try {
      const result = await submitter.proposeLocally({
        type: 'placeGroups',
        at: 0,
        place,
        dissolve,
        basedOn,
      });
      logger.info({ notes, result: result.val }, 'placement decided');
      this.#options.onPlacement(result.ok && result.val.type !== 'refused');
    } finally {
      this.#isSubmitting = false;
    }
  }
}
