import type { Milliseconds } from '../common/index.js';
import type { EngineReading } from '../routing/index.js';
import type { EngineView } from './types.js';

/** Determines what the most recent report proves about an engine. */

/**
 * A report older than this proves nothing about an engine. Sidecars report at least once a second, so three reports may be late
 * before the last one is disregarded.
 */
const maximumReportAge: Milliseconds = 3000;

/**
 * What is known about an engine. `answering`: it recently answered its sidecar. `ended`: nothing listens at its address any more.
 * `silent`: it has not answered its sidecar for some time; it may still be serving. `unknown`: nothing can be concluded, because there
 * is no recent report from the sidecar, or the sidecar has not queried the engine yet or could not identify the instance that answers.
 */
export type EngineStatus =
  | { readonly type: 'answering'; readonly reading: EngineReading }
  | { readonly type: 'ended' }
  | { readonly type: 'silent' }
  | { readonly type: 'unknown' };

/**
 * Only a refused connection shows that an engine has ended. A report without a reading must not count as its end: that would free
 * engines of a group whose head is still open. They would join another group, and answers would come from a part of the model.
 */
export function determineEngineStatus(view: EngineView | undefined): EngineStatus {
  if (view === undefined || view.reportAge > maximumReportAge) {
    return { type: 'unknown' };
  }
  const { reading, absence = 'notAsked' } = view.facts;
  if (reading !== undefined) {
    return { type: 'answering', reading };
  }
  switch (absence) {
    case 'refused':
      return { type: 'ended' };
    case 'silent':
    case 'unreadable':
      return { type: 'silent' };
    case 'notAsked':
    case 'notIdentified':
    case 'unanswered':
      return { type: 'unknown' };
  }
}
