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

/** The latest reports of sidecars that one control host knows of. They are not replicated, because sidecars report every second. */

/** One report of a sidecar. */
export interface HostReport {
  readonly host: HostName;
  readonly incarnation: Incarnation;
  /** Undefined if unchanged since the last report. */
  readonly facts: HostFacts | undefined;
  readonly configurationRevision: Revision;
  readonly groups: readonly GroupHealth[];
  readonly isDraining: boolean;
  readonly isLeaving: boolean;
  /** Increases with each report of one incarnation. */
  readonly sequence: number;
  /** Sequence of the report that first carried the current facts. */
  readonly factsSequence: number;
}

/** Result of recording a report. */
export type ReportVerdict =
  | 'taken'
  /** A newer report has already been recorded. */
  | 'old'
  /** The report omits facts that this control host has never received. */
  | 'factsMissing';

/** A host, its last report and the time of that report. */
export interface ReportedHost {
  readonly facts: HostFacts;
  readonly lastHeard: Milliseconds;
  readonly configurationRevision: Revision;
  readonly groups: readonly GroupHealth[];
  readonly sequence: number;
  readonly factsSequence: number;
}

/** Number of ended incarnations that are kept for each host. */
const maximumFormerIncarnations = 8;

/** Data kept to detect old reports of a host, even after it has left. */
interface KnownHost {
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly factsSequence: number;
  /** Earlier incarnations, newest first. */
  readonly formerIncarnations: readonly Incarnation[];
}

/**
 * Hosts by name.
 * A report arrives directly from its sidecar or through another control host, and a sidecar switches between them when a
 * connection breaks. So an old report may arrive after a newer one. If it were accepted, its outdated facts would stay
 * until the next change, since heartbeats omit the facts. Old reports are detected by sequence and by former incarnations.
 */
export class HostDirectory {
  readonly #known = new Map<HostName, KnownHost>();
  readonly #reported = new Map<HostName, ReportedHost>();

  /** Records a report received at `now`. */
  record(report: HostReport, now: Milliseconds): ReportVerdict {
    const known = this.#known.get(report.host);
    if (known !== undefined && isOld(report, known)) {
      return 'old';
    }
    const facts = report.facts ?? this.#findFacts(report, known);
    if (facts === undefined) {
      return 'factsMissing';
    }
    const reported = report.isLeaving ? undefined : describeHost(report, facts, now);
    const { incarnation, sequence, factsSequence } = report;
    const formerIncarnations = listFormerIncarnations(report, known);
    this.#known.set(report.host, { incarnation, sequence, factsSequence, formerIncarnations });
    if (reported === undefined) {
      this.#reported.delete(report.host);
    } else {
      this.#reported.set(report.host, reported);
    }
    return 'taken';
  }

  /** Hosts that have reported and have not left. */
  read(): ReadonlyMap<HostName, ReportedHost> {
    return this.#reported;
  }

  #findFacts(report: HostReport, known: KnownHost | undefined): HostFacts | undefined {
    const isSameStart = known?.incarnation === report.incarnation;
    const isSameFacts = known?.factsSequence === report.factsSequence;
    return isSameStart && isSameFacts ? this.#reported.get(report.host)?.facts : undefined;
  }

  /** Health that the lead of a group last reported; undefined until it reports on this very placement. */
  findHealth(group: Group): GroupHealth | undefined {
    const lead = this.#reported.get(findLead(group).host);
    return lead?.groups.find(
      (health) => health.group === group.name && health.fencingNumber === group.fencingNumber,
    );
  }
}

function isOld(report: HostReport, known: KnownHost): boolean {
  if (report.incarnation === known.incarnation) {
    return report.sequence <= known.sequence;
  }
  return known.formerIncarnations.includes(report.incarnation);
}

function describeHost(report: HostReport, facts: HostFacts, now: Milliseconds): ReportedHost {
  return {
    facts: { ...facts, isDraining: report.isDraining },
    lastHeard: now,
    configurationRevision: report.configurationRevision,
    groups: report.groups,
    sequence: report.sequence,
    factsSequence: report.factsSequence,
  };
}

function listFormerIncarnations(
  report: HostReport,
  known: KnownHost | undefined,
): readonly Incarnation[] {
  if (known === undefined || known.incarnation === report.incarnation) {
    return known?.formerIncarnations ?? [];
  }
  return [known.incarnation, ...known.formerIncarnations].slice(0, maximumFormerIncarnations);
}
