import { LeaseMember, type LeaseLead } from '../../src/lease/index.js';
import type { Artifact, Group, GroupHealth, HostFacts } from '../../src/model/index.js';
import { createHost } from '../placement/fixtures.js';

/** The hosts of a session. */

export const leaseDuration = 2000;

export interface LedGroup {
  readonly group: Group;
  readonly lead: LeaseLead;
  wakeAt: number;
  health: GroupHealth | undefined;
}

export interface SessionHost {
  readonly name: string;
  /** How fast its clock runs against true time. */
  readonly rate: number;
  start: number;
  state: 'running' | 'frozen' | 'down';
  member: LeaseMember;
  readonly leads: Map<number, LedGroup>;
  loaded: Artifact | undefined;
  loadingUntil: number;
  isDraining: boolean;
  running: number;
}

/** A host that starts at time 0. */
export function startHost(name: string, rate: number, loaded: Artifact | undefined): SessionHost {
  const host: SessionHost = {
    name,
    rate,
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

/** The host starts again and has forgotten what it granted and led. */
export function restartHost(host: SessionHost, now: number): void {
  host.start += 1;
  host.state = 'running';
  host.leads.clear();
  host.member = createMember(host.name, host.start);
  startMember(host, now);
}

/** What the host announces of itself. */
export function describeHost({ name, start, loaded, isDraining }: SessionHost): HostFacts {
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

function startMember({ member }: SessionHost, now: number): void {
  member.handle({ type: 'started', now });
  member.handle({ type: 'healthChanged', now, isHealthy: true });
}
