import type { Milliseconds } from '../common/index.js';
import type { EngineModel } from '../routing/index.js';
import { computeLossShare, computeUrgency, type LossInput } from './model-losses.js';
import { CapacityNeeds, type NeedsInput } from './model-needs.js';

/** Computes the utility of groups where callers compete for too few engines. */

/** A model gives up a group only if its other groups have this multiple of the demand. */
const spareMargin = 1.15;
/** Difference of weighted coverage from which a model without spare groups gives one up. */
const rebalanceThreshold = 0.3;
/** Weight of the reserve, relative to capacity that is needed now. */
const reserveWeight = 0.4;
/** Weight of capacity beyond demand and reserve: idle spares replace lost members sooner than groups that have to be drained. */
const surplusWeight = 0.05;
/** Part of the demand that the reserve holds for a lost fabric domain. Groups spread over three domains lose a third of their capacity. */
const domainShare = 0.5;
/** Part of the demand that the reserve holds for a burst. Bursts last a few seconds and an exchange takes as long, so it has to exist before. */
const burstShare = 0.5;
/** Groups that a model keeps, however small its demand: with one, its callers have none for seconds after each loss. */
const minimumKept = 2;
/** Fraction of requests lost, weighted by urgency, below which planning prefers reserves. Single refusals occur on every day. */
const calmLoss = 0.05;
/** Smallest demand, in groups, that is planned for. One group covers it, so no model is left without a group. */
const minimumGroups = 0.5;
/** A model that got a group from another one gives none back within this time: forming a group takes up to half of it. */
const exchangeInterval: Milliseconds = 5000;

/**
 * Needs that weigh models by the urgency and the losses of their callers. The losses raise the demand, because they show that the
 * model needs more capacity than its demand says. The reserve covers the loss of a fabric domain and a burst.
 */
export class WeighedNeeds extends CapacityNeeds {
  readonly #losses: LossInput;
  readonly #isCalm: boolean;

  constructor(input: NeedsInput, losses: LossInput) {
    super(input);
    this.#losses = losses;
    this.#isCalm = [...losses.outcomes.keys()].every((model) => this.#lossOf(model) < calmLoss);
  }

  coverageOf(model: EngineModel): number {
    const count = this.countGroups(model.name);
    const missing = this.#weighMissing(model, count);
    if (count === 0) {
      return 0;
    }
    // While nobody loses much, the reserve of a model with many groups must not come before the second group of another one, whose callers
    // would have no group at all after each loss. Once callers lose, what they miss now comes first.
    return this.#isCalm ? 1 - (missing + this.#weighMissing(model, count - 1)) / 2 : 1 - missing;
  }

  /**
   * A model keeps its demand with a margin, and at least two groups. It gives up further groups of these, except the last two, to a model
   * that misses more of its demand by the threshold, weighted by urgency. It gives none to a model whose callers lose less, or soon after it
   * got one from it, unless that model has no group at all: its callers are all refused. A second group is not given up: in replay its model
   * then had none for seconds after each loss, and the taker gained less.
   */
  countSpare(model: EngineModel, _coverage: number, taker: EngineModel): number {
    const hasNone = this.countGroups(taker.name) === 0;
    const isBlocked =
      this.#gotRecently(model.name, taker.name) ||
      this.#lossOf(model.name) > this.#lossOf(taker.name);
    if (isBlocked && !hasNone) {
      return 0;
    }
    const count = this.countGroups(model.name);
    const enough = Math.ceil((this.demandOf(model) * spareMargin) / this.capacityOf(1));
    let kept = Math.min(count, Math.max(minimumKept, enough));
    const needed = hasNone ? 1 : this.#weighMissing(taker, this.countGroups(taker.name));
    while (
      kept > minimumKept &&
      this.#weighMissing(model, kept - 1) <= needed - rebalanceThreshold
    ) {
      kept -= 1;
    }
    return count - kept;
  }

  protected override demandOf(model: EngineModel): number {
    return this.measuredDemandOf(model, minimumGroups) * (1 + this.#lossShareOf(model.name));
  }

  protected override utilityOf(model: EngineModel, groups: number): number {
    const demand = this.demandOf(model);
    const capacity = this.capacityOf(groups);
    const reserve = Math.max(this.capacityOf(1), demand * domainShare) + demand * burstShare;
    const inReserve = Math.min(Math.max(0, capacity - demand), reserve);
    const missing = Math.max(0, 1 - capacity / demand);
    const surplus = surplusWeight * demand * (1 - 1 / (1 + groups));
    return demand * (1 - missing * missing) + inReserve * reserveWeight + surplus;
  }

  /** Fraction of the demand that the given number of groups does not cover, weighted by urgency. */
  #weighMissing(model: EngineModel, groups: number): number {
    const missing = Math.max(0, 1 - this.capacityOf(Math.max(0, groups)) / this.demandOf(model));
    return this.#urgencyOf(model.name) * missing;
  }

  #urgencyOf(model: string): number {
    return computeUrgency(this.#losses.outcomes, model);
  }

  #lossShareOf(model: string): number {
    return computeLossShare(this.#losses.outcomes.get(model));
  }

  /** Fraction of the requests lost, weighted by urgency. */
  #lossOf(model: string): number {
    return this.#urgencyOf(model) * this.#lossShareOf(model);
  }

  /** Whether the model recently got a group from the other one. */
  #gotRecently(model: string, other: string): boolean {
    return this.#losses.exchanges.some(
      ({ from, to, age }) => from === other && to === model && age < exchangeInterval,
    );
  }
}
