import type { Milliseconds } from '../common/index.js';
import type { EngineReading } from '../routing/index.js';
import type { EngineView } from './types.js';

/** Tells what may be concluded about an engine from the last report on it. */

/**
 * A report older than this proves nothing about an engine. Sidecars report at least once a second; three of those may be
 * late before what they said is doubted.
 */
const longestSilence: Milliseconds = 3000;

/**
 * What is known of an engine. `answering`: it answered its sidecar lately. `ended`: nothing listens at its address any more.
 * `silent`: it was asked for some time and did not answer; it may serve all the same. `unknown`: nothing follows, because its sidecar is
 * not heard of, has not asked it yet, or could not find out which instance answers.
 */
export type EngineStanding =
  | { readonly type: 'answering'; readonly reading: EngineReading }
  | { readonly type: 'ended' }
  | { readonly type: 'silent' }
  | { readonly type: 'unknown' };

/**
 * Only a refused connection shows that an engine ended. Taken for its end as well, a report that names no engine frees engines of a
 * group whose head is open: they join another one, and answers come from a part of the model.
 */
export function judgeEngine(view: EngineView | undefined): EngineStanding {
  if (view === undefined || view.silence > longestSilence) {
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
