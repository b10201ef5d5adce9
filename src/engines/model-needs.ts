import type { EngineModel, EngineProfile } from '../routing/index.js';

/** Computes the utility of another group of a model. */

/**
 * Fraction of the slots of a group that is planned to be in use. A fuller group generates tokens more slowly and queues requests
 * during bursts. At this utilization, a quarter of the groups of a model can be lost at once and the rest can still serve the demand.
 */
const targetUtilization = 0.7;
/** A model gives up a group only if its other groups have this multiple of the demand, so that it does not need the group back at once. */
const spareMargin = 1.15;
/** Weight of capacity beyond demand and reserve, relative to needed capacity: a little more is useful, much more is idle. */
const surplusWeight = 0.2;
/**
 * A model that lacks capacity itself gives up a group to a model whose coverage is lower by this much. With a smaller threshold, the
 * two would alternately take the same engines from each other.
 */
const rebalanceThreshold = 0.3;
/** Weight of the reserve, relative to capacity that is needed now. */
const reserveWeight = 0.4;
/** The reserve is one group or this fraction of the demand, whichever is more, because a fabric domain fails as a whole. */
const reserveShare = 0.25;
/** Groups of a model with hardly any demand, so that it can lose one. */
const minimumGroups = 2;

/** Input for computing needs. */
export interface NeedsInput {
  readonly profile: EngineProfile;
  readonly engineCount: number;
  readonly groups: readonly { readonly model: string }[];
  /** Demand in concurrent requests, by model; empty if it is not known. */
  readonly demand: ReadonlyMap<string, number>;
}

/** The demand for the models of a service and the number of groups of each, updated as planning adds and removes groups. */
export abstract class CapacityNeeds {
  readonly #profile: EngineProfile;
  readonly #demand: ReadonlyMap<string, number>;
  readonly #groups = new Map<string, number>();
  readonly #engineCount: number;

  constructor({ profile, engineCount, groups, demand }: NeedsInput) {
    this.#profile = profile;
    this.#demand = demand;
    this.#engineCount = engineCount;
    groups.forEach(({ model }) => {
      this.add(model);
    });
  }

  /** Fraction of the demand that the existing groups can serve, 1 at most; the model with the lowest one gets the next group. */
  abstract coverageOf(model: EngineModel): number;

  /** Number of groups that the model can give up to the taker, whose coverage is given. */
  abstract countSpare(model: EngineModel, coverage: number, taker: EngineModel): number;

  protected abstract demandOf(model: EngineModel): number;

  protected abstract utilityOf(model: EngineModel, groups: number): number;

  /** Concurrent requests for which one group of any model is planned. */
  get groupCapacity(): number {
    return this.capacityOf(1);
  }

  /** Adds a group of the model. */
  add(model: string): void {
    this.#groups.set(model, this.countGroups(model) + 1);
  }

  /** Removes a group of the model. */
  remove(model: string): void {
    this.#groups.set(model, Math.max(0, this.countGroups(model) - 1));
  }

  /** Utility that one more group of the model adds, in concurrent requests. */
  gainOf(model: EngineModel): number {
    const count = this.countGroups(model.name);
    return this.utilityOf(model, count + 1) - this.utilityOf(model, count);
  }

  /** Utility lost if one group is removed for each entry; a model may be listed several times. */
  lossOf(models: readonly string[]): number {
    return this.#profile.models.reduce((sum, model) => {
      const lost = models.filter((name) => name === model.name).length;
      const count = this.countGroups(model.name);
      return sum + this.utilityOf(model, count) - this.utilityOf(model, count - lost);
    }, 0);
  }

  protected countGroups(model: string): number {
    return this.#groups.get(model) ?? 0;
  }

  protected capacityOf(groups: number): number {
    return groups * this.#profile.slots * targetUtilization;
  }

  /** The measured demand, at least that of the given number of groups; before there is any, the model's share of all engines. */
  protected measuredDemandOf(model: EngineModel, minimum: number): number {
    if (this.#demand.size > 0) {
      return Math.max(this.#demand.get(model.name) ?? 0, this.capacityOf(minimum));
    }
    const { models } = this.#profile;
    const weightOf = ({ share, pace }: EngineModel): number => share * pace;
    const total = models.reduce((sum, each) => sum + weightOf(each), 0);
    const part = total === 0 ? 1 / models.length : weightOf(model) / total;
    return this.capacityOf((part * this.#engineCount) / model.groupSize);
  }
}

/** Needs by demand alone; all models count the same. */
export class ModelNeeds extends CapacityNeeds {
  coverageOf(model: EngineModel): number {
    const demand = this.demandOf(model);
    const capacity = this.capacityOf(this.countGroups(model.name));
    return demand === 0 ? 1 : Math.min(1, capacity / demand);
  }

  /**
   * Without the spare groups, the model still either covers its demand with a margin or has a coverage that is higher than the taker's by
   * the rebalance threshold.
   */
  countSpare(model: EngineModel, coverage: number): number {
    const demand = this.demandOf(model);
    const enough = Math.ceil((demand * spareMargin) / this.capacityOf(1));
    const balanced = Math.ceil((demand * (coverage + rebalanceThreshold)) / this.capacityOf(1));
    return Math.max(0, this.countGroups(model.name) - Math.min(enough, balanced));
  }

  protected override demandOf(model: EngineModel): number {
    return this.measuredDemandOf(model, minimumGroups - 0.5);
  }

  protected override utilityOf(model: EngineModel, groups: number): number {
    const demand = this.demandOf(model);
    const capacity = this.capacityOf(groups);
    const reserve = Math.max(this.capacityOf(1), demand * reserveShare);
    const inReserve = Math.min(Math.max(0, capacity - demand), reserve);
    const surplus = surplusWeight * demand * (1 - 1 / (1 + groups));
    return demand * this.#utilityOfCoverage(capacity, demand) + inReserve * reserveWeight + surplus;
  }

  /**
   * Concave function of coverage, from 0 to 1, steepest at low coverage. If the utility were linear, more coverage would be worth the same
   * to a model with almost no groups as to one that lacks a little, and small groups, which add more per engine, would always win.
   */
  #utilityOfCoverage(capacity: number, demand: number): number {
    const missing = demand === 0 ? 0 : Math.max(0, 1 - capacity / demand);
    return 1 - missing * missing;
  }
}
