import type { Milliseconds } from '../../common/index.js';
import type { EngineView } from '../../engines/index.js';
import type { EngineFacts } from '../../routing/index.js';

/** What the leader last heard of each engine from the sidecar beside it; free of I/O. */

/** A report as it came in. */
export interface ReceivedReport {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: number;
  /** Undefined when nothing changed since the report before. */
  readonly facts: EngineFacts | undefined;
}

/** What became of a report. `factsMissing`: the sidecar has to send its facts again. */
export type EngineReportVerdict = 'changed' | 'unchanged' | 'late' | 'factsMissing';

/** Hosts that are silent for this long are forgotten. */
const forgetAfter: Milliseconds = 600_000;

interface KnownEngine {
  readonly incarnation: string;
  readonly sequence: number;
  readonly facts: EngineFacts;
  readonly heardAt: Milliseconds;
}

export class EngineDirectory {
  readonly #engines = new Map<string, KnownEngine>();

  take(report: ReceivedReport, now: Milliseconds): EngineReportVerdict {
    const { host, incarnation, sequence } = report;
    const known = this.#engines.get(host);
    const isSameLife = known?.incarnation === incarnation;
    if (isSameLife && sequence <= known.sequence) {
      return 'late';
    }
    const facts = report.facts ?? (isSameLife ? known.facts : undefined);
    if (facts === undefined) {
      return 'factsMissing';
    }
    this.#engines.set(host, { incarnation, sequence, facts, heardAt: now });
    return report.facts === undefined ? 'unchanged' : 'changed';
  }

  /** All engines by host. */
  describe(now: Milliseconds): ReadonlyMap<string, EngineView> {
    const views = new Map<string, EngineView>();
    for (const [host, { facts, heardAt }] of this.#engines) {
      const silence = now - heardAt;
      if (silence > forgetAfter) {
        this.#engines.delete(host);
        continue;
      }
      views.set(host, { host, facts, silence });
    }
    return views;
  }

  /** A host that leads no more hears no reports; what it knew would be old when it leads again. */
  clear(): void {
    this.#engines.clear();
  }
}
