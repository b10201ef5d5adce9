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
import type { Applied, ControlState } from './state.js';

/** Instances in the replicated state: who is there, and who is gone. */

type RecordInstances = Extract<Command, { readonly type: 'recordInstances' }>;

/**
 * Departed instances that are remembered. An announcement is late by seconds, and a large deployment replaces some
 * hundreds of instances a day, so this covers more than a day.
 */
const rememberedDepartures = 1000;

/** Takes instances in and out. */
export function applyRecordInstances(state: ControlState, command: RecordInstances): Applied {
  const record = new InstanceRecord(state.routing);
  command.retired.forEach((identity) => {
    record.remove(identity, 'left');
  });
  command.silent.forEach((identity) => {
    record.remove(identity, 'silent');
  });
  const proved = command.proved ?? [];
  for (const instance of command.present) {
    const isProved = proved.some((identity) => isSameStart(identity, instance));
    record.take(instance, isProved);
  }
  const routing: RoutingState = { ...state.routing, ...record.read() };
  return { state: { ...state, routing }, answer: { type: 'recorded' } };
}

/** The instances of a state while one command changes them. */
class InstanceRecord {
  readonly #instances: Map<string, Instance>;
  #departed: readonly DepartedInstance[];

  constructor({ instances, departed }: RoutingState) {
    this.#instances = new Map(instances);
    this.#departed = departed;
  }

  read(): Pick<RoutingState, 'instances' | 'departed'> {
    return { instances: this.#instances, departed: this.#departed.slice(-rememberedDepartures) };
  }

  /** Another start under the same id stays as it is. */
  remove(identity: InstanceIdentity, reason: DepartureReason): void {
    const present = this.#instances.get(identity.id);
    const isPresent = present !== undefined && isSameInstance(present, identity);
    if (isPresent) {
      this.#instances.delete(identity.id);
    }
    this.#noteDeparture(isPresent ? present : identity, reason);
  }

  take(instance: Instance, isProved: boolean): void {
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

  /** What left for good stays so, whatever is heard of it later. */
  #noteDeparture(identity: InstanceIdentity, reason: DepartureReason): void {
    const known = this.#departed.find((each) => isSameStart(each, identity));
    if (known?.reason === 'left') {
      return;
    }
    const others = this.#departed.filter((each) => each !== known);
    this.#departed = [...others, { ...identityOf(identity), reason }];
  }
}

/** Two instances never share an address, and two starts never run under one id. */
function isReplacedBy(known: Instance, taken: Instance): boolean {
  return known.id === taken.id ? !isSameStart(known, taken) : known.address === taken.address;
}
