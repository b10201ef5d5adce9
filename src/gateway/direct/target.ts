import type { Milliseconds, RandomSource } from '../../common/index.js';
import {
  formatIdentity,
  identityOf,
  isSameStart,
  type EngineGroup,
  type InstanceIdentity,
  type RoutedService,
} from '../../routing/index.js';
import type { RoutingView } from '../../watch/index.js';
import type { UpstreamLoad } from './dialect.js';
import { choosePreferred, type GatewayPlace } from './head-subset.js';

/** Chooses the upstream for a request; free of I/O. */

/** Where a request can be sent. */
export interface Target {
  /** Names the placed group, or the start of an instance of a plain service. */
  readonly key: string;
  readonly service: string;
  readonly instance: InstanceIdentity;
  /** `ip:port`. */
  readonly address: string;
  /** Requests that it works on at once; undefined where it has not said. */
  readonly slots: number | undefined;
}

/** What a request needs. */
export interface TargetQuestion {
  readonly service: RoutedService;
  readonly model: string | undefined;
  /** Targets that were tried already. */
  readonly tried: ReadonlySet<string>;
}

/** `full`: every one that could take it has as much as it should. `none`: there is none now. */
export type TargetChoice =
  | { readonly type: 'target'; readonly target: Target }
  | { readonly type: 'full' }
  | { readonly type: 'none' };

/**
 * Requests that are sent to a group of engines for each of its slots. What is beyond waits in the gateway, where the newest goes
 * first: in the queue of an engine it would wait a few tenths of a second, and every request would be late instead of some.
 */
const engineFill = 1;
/** Instances of plain services are done with a request in a few hundredths of a second, so one may wait behind each. */
const instanceFill = 2;
/** Slots of an upstream that has not said how many it has. */
const assumedSlots = 8;
/** What an upstream said of its load is of use for this long: a request takes about as long. */
const loadLifetime: Milliseconds = 1000;
/** An upstream that could not be reached, or broke an answer off, is passed over for this long while there are others. */
const suspicionDuration: Milliseconds = 1000;

interface KnownLoad {
  /** Requests of this gateway that are under way there. */
  own: number;
  /** Requests of others, when the upstream last said its load. */
  others: number;
  heardAt: Milliseconds;
  slots: number | undefined;
  suspectedUntil: Milliseconds;
}

/** What this gateway knows of the load of each target. */
export class TargetLoads {
  readonly #loads = new Map<string, KnownLoad>();

  noteSent(target: Target): void {
    this.#find(target.key).own += 1;
  }

  noteDone(target: Target): void {
    const load = this.#find(target.key);
    load.own = Math.max(0, load.own - 1);
  }

  noteLoad(target: Target, { running, waiting, slots }: UpstreamLoad, now: Milliseconds): void {
    const load = this.#find(target.key);
    load.others = Math.max(0, running + waiting - load.own);
    load.slots = slots;
    load.heardAt = now;
  }

  suspect({ key }: Pick<Target, 'key'>, now: Milliseconds): void {
    this.#find(key).suspectedUntil = now + suspicionDuration;
  }

  isSuspected(target: Target, now: Milliseconds): boolean {
    return this.#find(target.key).suspectedUntil > now;
  }

  /** Requests under way at the target for each of its slots. */
  useOf(target: Target, now: Milliseconds): number {
    const { own, others, heardAt, slots } = this.#find(target.key);
    const age = now - heardAt;
    const share = Math.max(0, 1 - age / loadLifetime);
    return (own + others * share) / (slots ?? target.slots ?? assumedSlots);
  }

  /** Forgets targets that are there no more and have nothing under way. */
  retain(keys: ReadonlySet<string>): void {
    for (const [key, { own }] of this.#loads) {
      if (own === 0 && !keys.has(key)) {
        this.#loads.delete(key);
      }
    }
  }

  #find(key: string): KnownLoad {
    const known = this.#loads.get(key);
    if (known !== undefined) {
      return known;
    }
    const load = {
      own: 0,
      others: 0,
      heardAt: Number.NEGATIVE_INFINITY,
      slots: undefined,
      suspectedUntil: Number.NEGATIVE_INFINITY,
    };
    this.#loads.set(key, load);
    return load;
  }
}

/** Options of the chooser. */
export interface TargetChooserOptions {
  readonly readView: () => RoutingView;
  readonly loads: TargetLoads;
  /** Undefined while it is not known, and where no others share the targets. */
  readonly readPlace?: () => GatewayPlace | undefined;
  readonly random: RandomSource;
}

interface RankedTarget {
  readonly target: Target;
  readonly use: number;
  /** Decides between equals. */
  readonly draw: number;
}

export class TargetChooser {
  readonly #options: TargetChooserOptions;

  constructor(options: TargetChooserOptions) {
    this.#options = options;
  }

  /** The least used target that was not tried, of those that this gateway prefers while one of them has room; of equals, any. */
  choose({ service, model, tried }: TargetQuestion, now: Milliseconds): TargetChoice {
    const { loads } = this.#options;
    const targets = this.listTargets(service, model);
    const all = targets.filter(({ key }) => !tried.has(key));
    const trusted = all.filter((target) => !loads.isSuspected(target, now));
    const ranked = this.#rank(trusted.length > 0 ? trusted : all, now);
    if (ranked.length === 0) {
      return { type: 'none' };
    }
    const limit = service.engine === undefined ? instanceFill : engineFill;
    const withRoom = ranked.filter(({ use }) => use < limit);
    const preferred = this.#findPreferred(service, targets);
    const best = withRoom.find(({ target }) => preferred.has(target.key)) ?? withRoom[0];
    return best === undefined ? { type: 'full' } : { type: 'target', target: best.target };
  }

  /** The least used first. */
  #rank(targets: readonly Target[], now: Milliseconds): readonly RankedTarget[] {
    const { loads, random } = this.#options;
    return targets
      .map((target) => ({ target, use: loads.useOf(target, now), draw: random.fraction() }))
      .sort((one, other) => one.use - other.use || one.draw - other.draw);
  }

  /** Instances of plain services are few, and done with a request before others could crowd them. */
  #findPreferred({ engine }: RoutedService, targets: readonly Target[]): ReadonlySet<string> {
    const keys = targets.map(({ key }) => key);
    return engine === undefined
      ? new Set(keys)
      : choosePreferred(keys, this.#options.readPlace?.());
  }

  /** Whether the target still serves what it was chosen for; one that drains goes on with what it has. */
  isThere({ key, service, instance }: Target): boolean {
    const { engineGroups, instances } = this.#options.readView();
    const group = engineGroups.get(key);
    if (group !== undefined) {
      return group.phase === 'open' || group.phase === 'draining';
    }
    const known = instances.get(instance.id);
    return known?.service === service && isSameStart(known, instance);
  }

  listTargets(service: RoutedService, model: string | undefined): readonly Target[] {
    const { engineGroups, instances } = this.#options.readView();
    if (service.engine !== undefined) {
      const { slots } = service.engine;
      return [...engineGroups.values()]
        .filter((group) => group.service === service.name && group.model === model)
        .filter(({ phase }) => phase === 'open')
        .flatMap((group) => describeGroup(group, slots) ?? []);
    }
    return [...instances.values()]
      .filter((instance) => instance.service === service.name && !instance.isDraining)
      .map((instance) => ({
        key: formatIdentity(instance),
        service: service.name,
        instance: identityOf(instance),
        address: instance.address,
        slots: undefined,
      }));
  }
}

function describeGroup({ name, service, members }: EngineGroup, slots: number): Target | undefined {
  const head = members[0];
  return head === undefined
    ? undefined
    : { key: name, service, instance: head.instance, address: head.address, slots };
}
