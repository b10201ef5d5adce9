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
  /** Grows with each report of one incarnation. */
  readonly sequence: number;
  /** Sequence of the report that first carried the facts in force. */
  readonly factsSequence: number;
}

/** What became of a report. */
export type ReportVerdict =
  | 'taken'
  /** A newer one was taken before. */
  | 'old'
  /** It leaves out facts that this control host never got. */
  | 'factsMissing';

/** A host and when it was last heard of. */
export interface ReportedHost {
  readonly facts: HostFacts;
  readonly lastHeard: Milliseconds;
  readonly configurationRevision: Revision;
  readonly groups: readonly GroupHealth[];
  readonly sequence: number;
  readonly factsSequence: number;
}

/** Starts of one host that are remembered as over. */
const rememberedStarts = 8;

/** What is kept of a host, also after it left. */
interface KnownHost {
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly factsSequence: number;
  /** Earlier starts, newest first. */
  readonly formerIncarnations: readonly Incarnation[];
}

/**
 * The hosts by name.
 * A report comes straight from its sidecar or by another control host, and a sidecar changes the way when a connection breaks.
 * So an old report may come after a newer one; taken, it would show a state that is over for as long as nothing
 * changes, since heartbeats leave the facts out. Sequences and the starts that are over tell old reports.
 */
export class HostDirectory {
  readonly #known = new Map<HostName, KnownHost>();
  readonly #reported = new Map<HostName, ReportedHost>();

  /** Takes a report heard at `now`. */
  take(report: HostReport, now: Milliseconds): ReportVerdict {
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
    const formerIncarnations = listFormer(report, known);
    this.#known.set(report.host, { incarnation, sequence, factsSequence, formerIncarnations });
    if (reported === undefined) {
      this.#reported.delete(report.host);
    } else {
      this.#reported.set(report.host, reported);
    }
    return 'taken';
  }

  /** Hosts that have announced themselves and have not left. */
  read(): ReadonlyMap<HostName, ReportedHost> {
    return this.#reported;
  }

  #findFacts(report: HostReport, known: KnownHost | undefined): HostFacts | undefined {
    const isSameStart = known?.incarnation === report.incarnation;
    const isSameFacts = known?.factsSequence === report.factsSequence;
    return isSameStart && isSameFacts ? this.#reported.get(report.host)?.facts : undefined;
  }

  /** What the lead of a group last said of it; undefined until it spoke of this very placement. */
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

function listFormer(report: HostReport, known: KnownHost | undefined): readonly Incarnation[] {
  if (known === undefined || known.incarnation === report.incarnation) {
    return known?.formerIncarnations ?? [];
  }
  return [known.incarnation, ...known.formerIncarnations].slice(0, rememberedStarts);
}
