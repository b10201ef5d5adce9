import type { Work } from '../work.js';
import type { Exchange } from './kept-connection.js';
import type { ProcessLife } from './process-lives.js';
import { timeLimit } from './request-plan.js';

/** Whether a gateway lost a request around its planned stop. Times in milliseconds. */

/** Time after SIGTERM within which a process must have finished what it had begun, and what is added to it until its end. */
export const stopGrace = 8000;
export const graceSlack = 1000;
/** An upstream may still be at work in this last part of the grace period on a request that was sent so early after SIGTERM. */
const lastPart = stopGrace / 6;
const earlyTime = 3000;
/** A request that was not passed on may end with its connection within this time. */
const crossingTime = 200;
/** Time before a request in which a freeze or kill of its gateway excuses it. */
const contactTime = 3000;
/** Time after SIGHUP in which requests must not be lost either. */
const applyTime = 2000;

/** What became of a request; every word but `lost` excuses it. */
export type Verdict =
  | 'answered'
  | 'not sent whole'
  | 'gateway killed'
  | 'gateway frozen'
  | 'outside planned stops'
  | 'crossed the close'
  | 'upstream broke off'
  | 'time limit'
  | 'upstream at work in the last part'
  | 'lost';

/**
 * `life`: that of the gateway. `work`: what upstreams did for the request, in order. `stalled`: time for which the caller stood still since
 * it had sent the request.
 */
export function judgeExchange(
  exchange: Exchange,
  life: ProcessLife,
  work: readonly Work[],
  stalled: number,
): Verdict {
  const { startedAt, sentAt, endedAt, ending } = exchange;
  if (ending.type === 'answered') {
    return 'answered';
  }
  if (sentAt === undefined) {
    return 'not sent whole';
  }
  const since = startedAt - contactTime;
  if (life.killedAt !== undefined && life.killedAt > since) {
    return 'gateway killed';
  }
  if (life.freezes.some(({ from, until }) => from < endedAt && until > since)) {
    return 'gateway frozen';
  }
  if (!isAroundPlannedWork(life, sentAt, endedAt)) {
    return 'outside planned stops';
  }
  if (work.length === 0 && endedAt - sentAt - stalled <= crossingTime) {
    return 'crossed the close';
  }
  if (work.at(-1)?.end?.type === 'crashed') {
    return 'upstream broke off';
  }
  if (endedAt - startedAt >= timeLimit) {
    return 'time limit';
  }
  return isAtWorkInLastPart(life, sentAt, work) ? 'upstream at work in the last part' : 'lost';
}

function isAroundPlannedWork(life: ProcessLife, sentAt: number, endedAt: number): boolean {
  const { stoppedAt = Number.POSITIVE_INFINITY, hangUps } = life;
  const isAroundStop = endedAt >= stoppedAt && endedAt <= stoppedAt + stopGrace + graceSlack;
  return isAroundStop || hangUps.some((at) => sentAt <= at + applyTime && endedAt >= at);
}

function isAtWorkInLastPart(
  { stoppedAt }: ProcessLife,
  sentAt: number,
  work: readonly Work[],
): boolean {
  if (stoppedAt === undefined || sentAt > stoppedAt + earlyTime) {
    return false;
  }
  const from = stoppedAt + stopGrace - lastPart;
  return work.some(({ end }) => end === undefined || end.at >= from);
}
