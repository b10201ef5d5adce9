import type { Logger } from 'pino';

import type { Clock, Milliseconds } from '../../common/index.js';
import type { ReplicatedLog } from '../../consensus/index.js';
import {
  determineEngineStatus,
  ExchangeHistory,
  planEngineGroups,
  Settling,
  type EngineDecision,
  type EngineView,
  type GroupView,
  type LossInput,
  type PlannerInput,
} from '../../engines/index.js';
import { InstanceSet, type EngineGroup, type EngineProfile } from '../../routing/index.js';
import type { CommandSubmitter } from '../shell/command-submitter.js';
import type { CommandAnswer, ControlState, RoutingState } from '../state/index.js';
import { describeDecision } from './describe-decision.js';
import type { EngineMetrics } from './engine-metrics.js';
import { LoadBudget } from './load-budget.js';
import { PlanPacing } from './plan-pacing.js';

/** Runs the engine planner on the leader whenever something has changed, and commits its decisions. */

/** Interval of regular steps. The passage of time alone triggers no event, so drains and silences are noticed at most this late. */
const interval: Milliseconds = 200;
/** Delay after a failed commit, so that a leader without a quorum does not retry in a tight loop. */
const retryDelay: Milliseconds = 100;

/** Options of the loop. */
export interface EngineLoopOptions {
  readonly log: ReplicatedLog<CommandAnswer>;
  readonly submitter: CommandSubmitter;
  readonly readState: () => ControlState;
  readonly readEngines: () => ReadonlyMap<string, EngineView>;
  /** Concurrent requests by model. */
  readonly readDemand: () => ReadonlyMap<string, number>;
  /** Whether the demand includes all gateways, not only the first that reported. */
  readonly isDemandSettled: () => boolean;
  /** Outcomes of the last seconds by model; undefined if planning does not weigh models by them. */
  readonly readOutcomes?: (() => LossInput['outcomes']) | undefined;
  readonly metrics: EngineMetrics;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Phase of a group, and since when this host has seen it. */
interface KnownPhase {
  readonly phase: string;
  readonly since: Milliseconds;
}

export class EngineLoop {
  readonly #options: EngineLoopOptions;
  #phases = new Map<string, KnownPhase>();
  readonly #loadBudget = new LoadBudget();
  #staging = new Map<string, string>();
  readonly #settling = new Settling();
  readonly #exchanges = new ExchangeHistory();
  /** When this host first knew of each evacuation in force, also as a follower, so that a new leader does not start over. */
  #evacuationsKnownSince = new Map<string, Milliseconds>();
  readonly #pacing = new PlanPacing();
  #hasTraffic = false;
  #isScheduled = false;
  #isCommitting = false;
  #timer: NodeJS.Timeout | undefined;
  #delayTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineLoopOptions) {
    this.#options = options;
  }

  open(): void {
    this.#timer = setInterval(() => {
      this.notify();
    }, interval);
  }

  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#delayTimer);
    this.#timer = undefined;
  }

  /**
   * Drops what this host knew as leader. Called when the leader changes. If groups are already placed, it assumes that there is
   * traffic.
   */
  resetLeaderState(): void {
    this.#phases = new Map();
    this.#staging = new Map();
    this.#exchanges.clear();
    this.#hasTraffic ||= this.#options.readState().routing.engineGroups.size > 0;
  }

  /** Schedules a step because something may have changed. Several calls before the next plan is allowed result in one step. */
  notify(): void {
    this.#updateEvacuations();
    if (
      this.#isScheduled ||
      this.#timer === undefined ||
      this.#options.log.view().type !== 'leader'
    ) {
      return;
    }
    this.#isScheduled = true;
    const step = (): void => {
      this.#isScheduled = false;
      void this.#step();
    };
    const rest = this.#pacing.findDelay(this.#options.clock.monotonic());
    if (rest === 0) {
      setImmediate(step);
    } else {
      this.#delayTimer = setTimeout(step, rest);
    }
  }

  /** Model that the host should stage now. */
  findStaging(host: string): string | undefined {
    return this.#staging.get(host);
  }

  async #step(): Promise<void> {
    const { log, readState, clock } = this.#options;
    if (this.#isCommitting || log.view().type !== 'leader') {
      return;
    }
    const state = readState();
    const startedAt = clock.monotonic();
    const input = this.#createInput(state);
    if (input === undefined) {
      return;
    }
    this.#options.metrics.recordInput(input);
    const decision = planEngineGroups(input);
    this.#noteStaging(decision, input);
    this.#pacing.recordPlan(startedAt, clock.monotonic());
    if (decision.place.length + decision.advance.length + decision.remove.length === 0) {
      return;
    }
    this.#isCommitting = true;
    const isCommitted = await this.#commit(decision, input, state.routing.engineGroupsIndex);
    this.#isCommitting = false;
    if (isCommitted) {
      this.notify();
    } else {
      setTimeout(() => {
        this.notify();
      }, retryDelay);
    }
  }

  #createInput(state: ControlState): PlannerInput | undefined {
    const { document, engineGroups } = state.routing;
    if (document === undefined) {
      return undefined;
    }
    const now = this.#options.clock.monotonic();
    const engines = this.#options.readEngines();
    const demand = this.#options.readDemand();
    const isDemandSettled = this.#options.isDemandSettled();
    // Not derived from the requests running on engines: a liveness check occupies a slot there long before the first request.
    this.#hasTraffic ||= demand.size > 0;
    if (this.#hasTraffic) {
      this.#settling.end();
    }
    const profile = document.services.find(({ engine }) => engine !== undefined)?.engine;
    return {
      services: document.services,
      groups: this.#describeGroups([...engineGroups.values()], now),
      engines,
      leaving: listLeaving(state.routing),
      hasTraffic: this.#hasTraffic,
      isSettling: this.#settling.isSettling(engines, now),
      loadsAllowed: this.#countLoads(profile, engines, now),
      pendingStaging: this.#staging,
      demand: isDemandSettled ? demand : new Map(),
      losses: isDemandSettled ? this.#describeLosses(now) : undefined,
      evacuations: this.#describeEvacuations(now),
      nextNumber: state.fencingNumber + 1,
    };
  }

  #describeLosses(now: Milliseconds): LossInput | undefined {
    const outcomes = this.#options.readOutcomes?.();
    return outcomes && { outcomes, exchanges: this.#exchanges.describe(now) };
  }

  #countLoads(
    profile: EngineProfile | undefined,
    engines: ReadonlyMap<string, EngineView>,
    now: Milliseconds,
  ): number {
    if (profile === undefined) {
      return 0;
    }
    this.#loadBudget.updateFinished(({ host, model }) => mayBeLoading(engines.get(host), model));
    return this.#loadBudget.countAllowed(profile, now);
  }

  /** Also drops the evacuations that have ended. Called after each applied command. */
  #updateEvacuations(): void {
    const { readState, clock } = this.#options;
    const now = clock.monotonic();
    const before = this.#evacuationsKnownSince;
    const domains = [...readState().routing.evacuations.keys()];
    this.#evacuationsKnownSince = new Map(
      domains.map((domain) => [domain, before.get(domain) ?? now]),
    );
  }

  #describeEvacuations(now: Milliseconds): ReadonlyMap<string, Milliseconds> {
    this.#updateEvacuations();
    return new Map(
      [...this.#evacuationsKnownSince].map(([domain, since]) => [domain, now - since]),
    );
  }

  /** Also drops the phases of removed groups. */
  #describeGroups(groups: readonly EngineGroup[], now: Milliseconds): readonly GroupView[] {
    const before = this.#phases;
    this.#phases = new Map(
      groups.map(({ name, phase }) => {
        const known = before.get(name);
        return [name, { phase, since: known?.phase === phase ? known.since : now }];
      }),
    );
    return groups.map((group) => {
      return { group, phaseAge: now - (this.#phases.get(group.name)?.since ?? now) };
    });
  }

  /** Ordered loads count against the budget from now on, whether or not they have started. */
  #noteStaging(decision: EngineDecision, input: PlannerInput): void {
    const now = this.#options.clock.monotonic();
    const ordered = new Map(decision.stage.map(({ host, model }) => [host, model]));
    if (input.hasTraffic) {
      for (const [host, model] of ordered) {
        if (this.#staging.get(host) !== model) {
          this.#loadBudget.recordOrdered({ host, model }, now);
        }
      }
    }
    this.#staging = ordered;
  }

  async #commit(decision: EngineDecision, input: PlannerInput, basedOn: number): Promise<boolean> {
    const { submitter, logger } = this.#options;
    const { place, advance, remove } = decision;
    const result = await submitter.proposeLocally({
      type: 'planEngineGroups',
      at: 0,
      basedOn,
      place,
      advance: advance.map(({ name, phase }) => ({ name, phase })),
      remove: remove.map(({ name }) => name),
    });
    const isCommitted = result.ok && result.val.type !== 'refused';
    if (isCommitted) {
      this.#exchanges.record(decision.exchanges ?? [], this.#options.clock.monotonic());
    }
    this.#options.metrics.recordDecision(decision, input, isCommitted);
    logger.info(
      { basedOn, ...describeDecision(decision, input), isCommitted },
      'engine groups planned',
    );
    return isCommitted;
  }
}

/**
 * Whether the engine of a host may still be loading the model. An engine whose state is unknown may be: if its load were taken as
 * finished, another load would be allowed beside it, and concurrent loads from the store take longer. A host that has never reported
 * is not waited for.
 */
function mayBeLoading(view: EngineView | undefined, model: string): boolean {
  const standing = determineEngineStatus(view);
  switch (standing.type) {
    case 'answering':
      return !standing.reading.staged.includes(model);
    case 'ended':
      return false;
    case 'silent':
    case 'unknown':
      return view !== undefined;
  }
}

/** Instances that announced that they are leaving, or are known to have ended although their engines may still respond. */
function listLeaving({ instances, departed }: RoutingState): InstanceSet {
  return new InstanceSet([
    ...[...instances.values()].filter(({ isDraining }) => isDraining),
    ...departed.filter(({ id, startedAt, reason }) => {
      return reason !== 'silent' && (startedAt !== undefined || !instances.has(id));
    }),
  ]);
}
