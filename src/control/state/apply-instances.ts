import {
  identityOf,
  isSameInstance,
  isSameStart,
  type DepartedInstance,
  type DepartureReason,
  type Instance,
  type InstanceIdentity,
} from '../../routing/index.js';
import type { Command } from './commands.js';
import type { RoutingState } from './routing-state.js';
import type { ApplyResult, ControlState } from './state.js';

/** Applies registrations and departures of instances to the replicated state. */

type RecordInstances = Extract<Command, { readonly type: 'recordInstances' }>;

/**
 * Number of departed instances kept. Announcements are late by seconds, and a large deployment replaces a few hundred
 * instances a day, so this covers more than a day.
 */
const maximumDepartures = 1000;

/** Adds and removes instances. */
export function applyRecordInstances(state: ControlState, command: RecordInstances): ApplyResult {
  const record = new InstanceSet(state.routing);
  command.retired.forEach((identity) => {
    record.remove(identity, 'left');
  });
  command.silent.forEach((identity) => {
    record.remove(identity, 'silent');
  });
  const proved = command.proved ?? [];
  for (const instance of command.present) {
    const isProved = proved.some((identity) => isSameStart(identity, instance));
    record.add(instance, isProved);
  }
  const routing: RoutingState = { ...state.routing, ...record.read() };
  return { state: { ...state, routing }, answer: { type: 'recorded' } };
}

/** Mutable copy of the instances of a state while one command is applied. */
class InstanceSet {
  readonly #instances: Map<string, Instance>;
  #departed: readonly DepartedInstance[];

  constructor({ instances, departed }: RoutingState) {
    this.#instances = new Map(instances);
    this.#departed = departed;
  }

  read(): Pick<RoutingState, 'instances' | 'departed'> {
    return { instances: this.#instances, departed: this.#departed.slice(-maximumDepartures) };
  }

  /** Removes exactly this instance; another start under the same id stays. */
  remove(identity: InstanceIdentity, reason: DepartureReason): void {
    const present = this.#instances.get(identity.id);
    const isPresent = present !== undefined && isSameInstance(present, identity);
    if (isPresent) {
      this.#instances.delete(identity.id);
    }
    this.#recordDeparture(isPresent ? present : identity, reason);
  }

  add(instance: Instance, isProved: boolean): void {
    const departure = this.#departed.find((each) => isSameStart(each, instance));
    const isGone = departure?.reason === 'left' || (departure?.reason === 'replaced' && !isProved);
    if (isGone) {
      return;
    }
    for (const other of this.#instances.values()) {
      if (isReplacedBy(other, instance)) {
        this.remove(other, 'replaced');
      }
    }
    this.#departed = this.#departed.filter((each) => !isSameStart(each, instance));
    this.#instances.set(instance.id, instance);
  }

  /** Records a departure; the reason `left` is final. */
  #recordDeparture(identity: InstanceIdentity, reason: DepartureReason): void {
    const known = this.#departed.find((each) => isSameStart(each, identity));
    if (known?.reason === 'left') {
      return;
    }
    const others = this.#departed.filter((each) => each !== known);
    this.#departed = [...others, { ...identityOf(identity), reason }];
  }
}

/** At most one instance has an address, and at most one start runs under an id, so the newer one replaces the older. */
function isReplacedBy(known: Instance, taken: Instance): boolean {
  return known.id === taken.id ? !isSameStart(known, taken) : known.address === taken.address;
}
