import {
  defaultHostHealthOptions,
  IncompleteGroupTracker,
  HostHealth,
  type HostHealthEffect,
  type HostHealthEvent,
} from '../../src/control/hosts/index.js';
import {
  applyCommand,
  initialControlState,
  type ControlState,
} from '../../src/control/state/index.js';
import type { Configuration, Group, GroupHealth, HostFacts } from '../../src/model/index.js';
import { planPlacement, type PlacementNote } from '../../src/placement/index.js';

/** The control host of a group simulation, with the real host health, placement and replicated state. */

/** Standings are not recorded until every host has reported once. */
const logStandingAfter = 1000;
export const loadDuration = 10_000;

export class SimulatedControl {
  readonly #health: HostHealth;
  readonly #groupWatch = new IncompleteGroupTracker();
  readonly #reportedFacts = new Map<string, HostFacts>();
  readonly #groupHealth = new Map<string, GroupHealth>();
  readonly #log: (line: string) => void;
  #state: ControlState;

  constructor(configuration: Configuration, log: (line: string) => void) {
    this.#state = { ...initialControlState, configuration };
    this.#health = new HostHealth(defaultHostHealthOptions, configuration.policy);
    this.#log = log;
  }

  get groups(): ReadonlyMap<string, Group> {
    return this.#state.groups;
  }

  configure(configuration: Configuration): void {
    this.#state = { ...this.#state, configuration, revision: this.#state.revision + 1 };
  }

  /** Handles a report of a host and of the groups that it leads. */
  handleReport(facts: HostFacts, groups: readonly GroupHealth[], now: number): void {
    this.#reportedFacts.set(facts.host, facts);
    const { host, incarnation, region, failureDomain, isHealthy } = facts;
    const sign = { host, incarnation, region, failureDomain, isHealthy, isLeaving: false };
    this.#updateHealth({ type: 'reported', now, report: sign, via: 'control' });
    for (const health of groups) {
      this.#groupHealth.set(health.group, health);
      this.#groupWatch.record(health, now);
      for (const missing of health.missing) {
        this.#updateHealth({ type: 'missed', now, host: missing });
      }
    }
  }

  handleClosedConnection(host: string, now: number): void {
    this.#updateHealth({ type: 'connectionClosed', now, host });
  }

  /** Checks for silent hosts and plans placements. */
  tick(now: number): void {
    this.#updateHealth({ type: 'ticked', now });
    const decision = planPlacement({
      configuration: this.#state.configuration,
      hosts: [...this.#reportedFacts.values()].map((facts) => ({
        facts,
        availability: this.#health.availabilityOf(facts.host, now),
      })),
      groups: [...this.#state.groups.values()].map((group) => ({
        group,
        health: this.#groupHealth.get(group.name),
        incompleteFor: this.#groupWatch.incompleteFor(group, now),
      })),
      estimates: { loadDuration, handover: 3000, hostUnavailability: 0.01 },
      isIsolationSuspected: this.#health.isIsolationSuspected,
    });
    const { place, dissolve, notes } = decision;
    if (place.length + dissolve.length === 0) {
      return;
    }
    const basedOn = this.#state.index;
    const command = { type: 'placeGroups', at: 0, place, dissolve, basedOn } as const;
    this.#state = applyCommand(this.#state, command).state;
    this.#log(`control: ${notes.map(describeNote).join(', ')}`);
    for (const { name } of place) {
      this.#logGroup(name);
    }
  }

  #logGroup(name: string): void {
    const group = this.#state.groups.get(name);
    if (group !== undefined) {
      const members = group.members.map(({ host }) => host).join(' ');
      const suffix = group.isDraining ? ', draining' : '';
      this.#log(`control: ${describeGroup(group)} is ${members}${suffix}`);
    }
  }

  #updateHealth(event: HostHealthEvent): void {
    for (const effect of this.#health.handle(event)) {
      this.#logEffect(effect, event.now);
    }
  }

  #logEffect(effect: HostHealthEffect, now: number): void {
    if (effect.type === 'statusChanged' && now > logStandingAfter) {
      this.#log(`control: ${effect.host} ${effect.status}`);
    }
    if (effect.type === 'isolationSuspicionChanged') {
      this.#log(`control: ${effect.isSuspected ? 'suspects itself' : 'trusts itself again'}`);
    }
  }
}

export function describeGroup({ name, fencingNumber }: Group): string {
  return `${name}#${fencingNumber}`;
}

function describeNote(note: PlacementNote): string {
  return `${note.type} ${'group' in note ? note.group : note.declaration}`;
}
