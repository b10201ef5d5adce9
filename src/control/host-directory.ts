import type { Milliseconds } from '../common/index.js';
import {
  findLead,
  type Group,
  type GroupHealth,
  type HostFacts,
  type HostName,
  type Incarnation,
  type Revision,
} from '../model/index.js';

/** What the sidecars last reported, as one control host knows it. Not replicated: reports come again within a second. */

/** One report of a sidecar. */
export interface HostReport {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  /** Undefined when nothing changed since the last one. */
  readonly facts: HostFacts | undefined;
  readonly configurationRevision: Revision;
  readonly groups: readonly GroupHealth[];
  readonly isDraining: boolean;
  readonly isLeaving: boolean;
}

/** A host and when it was last heard of. */
export interface ReportedHost {
  readonly facts: HostFacts;
  readonly lastHeard: Milliseconds;
  readonly configurationRevision: Revision;
  readonly groups: readonly GroupHealth[];
}

/** The hosts by name; a report of an earlier incarnation than the known one cannot be told by order, so the last one heard counts. */
export class HostDirectory {
  readonly #hosts = new Map<HostName, ReportedHost>();

  /** Takes a report heard at `now`; false when facts are missing that this control host never got. */
  take(report: HostReport, now: Milliseconds): boolean {
    if (report.isLeaving) {
      this.#hosts.delete(report.host);
      return true;
    }
    const known = this.#hosts.get(report.host);
    const facts = report.facts ?? known?.facts;
    if (facts?.incarnation !== report.incarnation) {
      return false;
    }
    this.#hosts.set(report.host, {
      facts: { ...facts, isDraining: report.isDraining },
      lastHeard: now,
      configurationRevision: report.configurationRevision,
      groups: report.groups,
    });
    return true;
  }

  read(): ReadonlyMap<HostName, ReportedHost> {
    return this.#hosts;
  }

  /** Takes a host out that was silent for so long that nobody waits for it. */
  forget(host: HostName): void {
    this.#hosts.delete(host);
  }

  /** What the lead of a group last said of it; undefined until it spoke of this very placement. */
  findHealth(group: Group): GroupHealth | undefined {
    const lead = this.#hosts.get(findLead(group).host);
    return lead?.groups.find(
      (health) => health.group === group.name && health.fencingNumber === group.fencingNumber,
    );
  }
}
