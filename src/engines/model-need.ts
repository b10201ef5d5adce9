import type { EngineModel, EngineProfile } from '../routing/index.js';

/** How much another group of a model would help. */

/**
 * Part of the slots of a group that is planned to be taken. A fuller group writes each token more slowly and queues what comes
 * in bursts; at this share a quarter of the groups of a model can be lost at once and the rest still takes all.
 */
const plannedUse = 0.7;
/** A model gives a group away only when it keeps this much more than is asked for, so that it does not want it back at once. */
const spareMargin = 1.15;
/** Worth of groups beyond demand and reserve, against those that are needed: a little more is of use, much more is idle. */
const comfortWeight = 0.2;
/**
 * A model that is short itself gives a group to one whose callers find this much less, as parts of what is asked for. Smaller, and the
 * two would take the same engines from each other by turns.
 */
const imbalance = 0.3;
/** Worth of the reserve, against capacity that is needed now. */
const reserveWeight = 0.4;
/** The reserve is one group, or this part of the demand where that is more: a fabric domain is lost as a whole. */
const reserveShare = 0.25;
/** Groups of a model that hardly anybody asks for: one can be lost. */
const leastGroups = 2;

/** Models of a service with the groups they have, as planning adds to them. */
export class ModelNeeds {
  readonly #profile: EngineProfile;
  readonly #demand: ReadonlyMap<string, number>;
  readonly #groups = new Map<string, number>();
  readonly #engineCount: number;

  constructor(
    profile: EngineProfile,
    engineCount: number,
    groups: readonly { readonly model: string }[],
    demand: ReadonlyMap<string, number>,
  ) {
    this.#profile = profile;
    this.#demand = demand;
    this.#engineCount = engineCount;
    groups.forEach(({ model }) => {
      this.add(model);
    });
  }

  /** Counts a group more. */
  add(model: string): void {
    this.#groups.set(model, this.#count(model) + 1);
  }

  /** Counts a group less. */
  remove(model: string): void {
    this.#groups.set(model, Math.max(0, this.#count(model) - 1));
  }

  /** What one more group of the model brings, in requests at one moment. */
  gainOf(model: EngineModel): number {
    const count = this.#count(model.name);
    return this.#worthOf(model, count + 1) - this.#worthOf(model, count);
  }

  /** What is lost with one group of each of these models; a model may be named several times. */
  lossOf(models: readonly string[]): number {
    return this.#profile.models.reduce((sum, model) => {
      const lost = models.filter((name) => name === model.name).length;
      const count = this.#count(model.name);
      return sum + this.#worthOf(model, count) - this.#worthOf(model, count - lost);
    }, 0);
  }

  /** Part of what is asked for that the groups there are can take, 1 at most. */
  coverageOf(model: EngineModel): number {
    const demand = this.#demandOf(model);
    return demand === 0 ? 1 : Math.min(1, this.#capacity(this.#count(model.name)) / demand);
  }

  /**
   * Groups that the model can give to one with this coverage: those without which its others would still take all that is asked for
   * and some more, and those without which its callers would still find a good deal more than the other's.
   */
  countSpare(model: EngineModel, coverage: number): number {
    const demand = this.#demandOf(model);
    const enough = Math.ceil((demand * spareMargin) / this.#capacity(1));
    const balanced = Math.ceil((demand * (coverage + imbalance)) / this.#capacity(1));
    return Math.max(0, this.#count(model.name) - Math.min(enough, balanced));
  }

  /** The model that one more group of would help most. */
  findNeediest(): EngineModel | undefined {
    return this.#profile.models.reduce<EngineModel | undefined>((neediest, model) => {
      const isNeedier =
        neediest === undefined || this.#urgencyOf(model) > this.#urgencyOf(neediest);
      return isNeedier ? model : neediest;
    }, undefined);
  }

  #urgencyOf(model: EngineModel): number {
    return this.gainOf(model) / model.groupSize;
  }

  #worthOf(model: EngineModel, groups: number): number {
    const demand = this.#demandOf(model);
    const capacity = this.#capacity(groups);
    const reserve = Math.max(this.#capacity(1), demand * reserveShare);
    const beyond = Math.min(Math.max(0, capacity - demand), reserve);
    const comfort = comfortWeight * demand * (1 - 1 / (1 + groups));
    return demand * this.#worthOfCoverage(capacity, demand) + beyond * reserveWeight + comfort;
  }

  /**
   * From 0 to 1, and steepest where nearly nothing is covered. Taken as it is, coverage would be worth the same to a model whose callers
   * find next to nothing and to one that lacks a little, and small groups, which bring more for each engine, would always win.
   */
  #worthOfCoverage(capacity: number, demand: number): number {
    const missing = demand === 0 ? 0 : Math.max(0, 1 - capacity / demand);
    return 1 - missing * missing;
  }

  #capacity(groups: number): number {
    return groups * this.#profile.slots * plannedUse;
  }

  /** What was measured; before that, the declared shares of the work that all engines together could do. */
  #demandOf(model: EngineModel): number {
    if (this.#demand.size > 0) {
      const least = this.#capacity(leastGroups - 0.5);
      return Math.max(this.#demand.get(model.name) ?? 0, least);
    }
    const { models } = this.#profile;
    const weightOf = ({ share, pace }: EngineModel): number => share * pace;
    const total = models.reduce((sum, each) => sum + weightOf(each), 0);
    const part = total === 0 ? 1 / models.length : weightOf(model) / total;
    return this.#capacity((part * this.#engineCount) / model.groupSize);
  }

  #count(model: string): number {
    return this.#groups.get(model) ?? 0;
  }
}
