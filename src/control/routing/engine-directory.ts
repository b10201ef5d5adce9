import { isDeepStrictEqual } from 'node:util';

import type { Milliseconds } from '../../common/index.js';
import type { EngineView } from '../../engines/index.js';
import type { EngineFacts } from '../../routing/index.js';

/** Latest report of each engine from its sidecar, on the leader; free of I/O. */

/** A decoded report. */
export interface ReceivedReport {
  readonly host: string;
  readonly incarnation: string;
  readonly sequence: number;
  /** Undefined if nothing has changed since the previous report. */
  readonly facts: EngineFacts | undefined;
}

/**
 * Result of a report. `unchanged`: only the load differs, which needs no immediate planning. `late`: a newer report arrived first.
 * `factsMissing`: the sidecar has to send its facts again.
 */
export type EngineReportVerdict = 'changed' | 'unchanged' | 'late' | 'factsMissing';

/** Hosts that have not reported for this long are dropped. */
const reportRetention: Milliseconds = 600_000;

interface KnownEngine {
  readonly incarnation: string;
  readonly sequence: number;
  readonly facts: EngineFacts;
  readonly receivedAt: Milliseconds;
}

export class EngineDirectory {
  readonly #engines = new Map<string, KnownEngine>();

  update(report: ReceivedReport, now: Milliseconds): EngineReportVerdict {
    const { host, incarnation, sequence } = report;
    const known = this.#engines.get(host);
    const isSameIncarnation = known?.incarnation === incarnation;
    if (isSameIncarnation && sequence <= known.sequence) {
      return 'late';
    }
    const facts = report.facts ?? (isSameIncarnation ? known.facts : undefined);
    if (facts === undefined) {
      return 'factsMissing';
    }
    this.#engines.set(host, { incarnation, sequence, facts, receivedAt: now });
    const isSame = isSameIncarnation && isDeepStrictEqual(omitLoad(facts), omitLoad(known.facts));
    return isSame ? 'unchanged' : 'changed';
  }

  /** All engines by host. */
  describe(now: Milliseconds): ReadonlyMap<string, EngineView> {
    const views = new Map<string, EngineView>();
    for (const [host, { facts, receivedAt }] of this.#engines) {
      const reportAge = now - receivedAt;
      if (reportAge > reportRetention) {
        this.#engines.delete(host);
        continue;
      }
      views.set(host, { host, facts, reportAge });
    }
    return views;
  }

  /** Drops all reports. A host that is no longer the leader receives none, so its data would be out of date when it leads again. */
  clear(): void {
    this.#engines.clear();
  }
}

/** Everything except the load, which changes with every report of a serving group. */
function omitLoad({ reading, ...others }: EngineFacts): object {
  return reading === undefined
    ? others
    : { ...others, reading: { ...reading, running: 0, waiting: 0 } };
}
