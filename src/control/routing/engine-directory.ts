import { isDeepStrictEqual } from 'node:util';

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

/**
 * What became of a report. `unchanged`: it says nothing but another load, for which no step has to be taken at once. `factsMissing`: the
 * sidecar has to send its facts again.
 */
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
    const isSame =
      isSameLife && isDeepStrictEqual(describeState(facts), describeState(known.facts));
    return isSame ? 'unchanged' : 'changed';
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

/** All but the load, which changes with every report of a group that serves. */
function describeState({ reading, ...others }: EngineFacts): object {
  return reading === undefined
    ? others
    : { ...others, reading: { ...reading, running: 0, waiting: 0 } };
}
