import { LeaseMember, type LeaseLead } from '../../src/lease/index.js';
import type { Artifact, Group, GroupHealth, HostFacts } from '../../src/model/index.js';
import { createHost } from '../placement/fixtures.js';

/** Hosts of a group simulation. */

export const leaseDuration = 2000;

export interface LedGroup {
  readonly group: Group;
  readonly lead: LeaseLead;
  nextTickAt: number;
  health: GroupHealth | undefined;
}

export interface SimulatedHost {
  readonly name: string;
  /** Speed of its clock relative to simulated time. */
  readonly clockRate: number;
  start: number;
  state: 'running' | 'frozen' | 'down';
  member: LeaseMember;
  readonly leads: Map<number, LedGroup>;
  loaded: Artifact | undefined;
  loadingUntil: number;
  isDraining: boolean;
  running: number;
}

/** Creates a host that starts at time 0. */
export function startHost(
  name: string,
  clockRate: number,
  loaded: Artifact | undefined,
): SimulatedHost {
  const host: SimulatedHost = {
    name,
    clockRate,
    start: 1,
    state: 'running',
    member: createMember(name, 1),
    leads: new Map(),
    loaded,
    loadingUntil: Infinity,
    isDraining: false,
    running: 0,
  };
  startMember(host, 0);
  return host;
}

/** Restarts the host without its memory of granted leases and led groups. */
export function restartHost(host: SimulatedHost, now: number): void {
  host.start += 1;
  host.state = 'running';
  host.leads.clear();
  host.member = createMember(host.name, host.start);
  startMember(host, now);
}

/** The facts that the host reports. */
export function describeHost({ name, start, loaded, isDraining }: SimulatedHost): HostFacts {
  const upstream = {
    type: 'engine',
    loaded: loaded === undefined ? [] : [loaded],
    checksFencingNumber: true,
  } as const;
  return createHost(name, { incarnation: `${name}/${start}`, upstream, isDraining }).facts;
}

function createMember(host: string, start: number): LeaseMember {
  return new LeaseMember({ host, incarnation: `${host}/${start}`, longestLease: leaseDuration });
}

function startMember({ member }: SimulatedHost, now: number): void {
  member.handle({ type: 'started', now });
  member.handle({ type: 'healthChanged', now, isHealthy: true });
}
