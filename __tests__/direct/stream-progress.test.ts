import { describe, expect, it } from 'vitest';

import { StreamProgress } from '../../src/gateway/direct/index.js';

/** Far longer than any pause of a working engine. */
const long = 5000;
/** Shorter than the pauses allowed to an engine. */
const short = 300;

interface ReviewResult {
  readonly stalled: readonly string[];
  readonly unrecovered: readonly string[];
}

const noTargets: ReviewResult = { stalled: [], unrecovered: [] };

/** Checks the streams at the interval of a gateway from `from` to `end`; returns the last result. */
function watch(progress: StreamProgress, from: number, end: number): ReviewResult {
  let result = noTargets;
  for (let now = from; now <= end; now += StreamProgress.checkInterval) {
    const { stalled, unrecovered } = progress.review(now);
    result = { stalled: [...stalled], unrecovered: [...unrecovered] };
  }
  return result;
}

describe('stalled targets', () => {
  // Guards against requests that wait at a head until their deadlines while others have free capacity. The host of a head is frozen together
  // with its sidecar, so its streams are silent. Gateways learned of a lost head only from control, which receives no report either.
  it('are those whose started streams are all silent', () => {
    const progress = new StreamProgress();
    const one = progress.track('a', 0);
    const other = progress.track('a', 0);
    one.noteBytes(0);
    other.noteBytes(0);
    progress.track('b', 0).noteBytes(0);
    for (let now = 0; now <= long; now += StreamProgress.checkInterval) {
      other.noteBytes(now);
      progress.review(now);
    }
    expect([...progress.review(long).stalled]).toEqual(['b']);
  });

  it('are detected sooner if the route wants shorter pauses', () => {
    const progress = new StreamProgress();
    progress.track('a', 0, 100).noteBytes(0);
    progress.track('b', 0, 1000).noteBytes(0);
    expect(watch(progress, 0, 1000).stalled).toEqual(['a']);
    expect(watch(progress, 1000, long).stalled).toEqual(['a', 'b']);
  });

  it('do not stand still while nothing has begun there', () => {
    const progress = new StreamProgress();
    progress.track('a', 0);
    expect(watch(progress, 0, long)).toEqual(noTargets);
  });

  it('work again with their first byte', () => {
    const progress = new StreamProgress();
    const stream = progress.track('a', 0);
    stream.noteBytes(0);
    expect(watch(progress, 0, long)).toEqual({ stalled: ['a'], unrecovered: ['a'] });
    stream.noteBytes(long);
    expect(watch(progress, long, long + short)).toEqual(noTargets);
  });

  // Guards against callers of a stalled head that wait until their deadlines, one group of them after the other. The streams that had started
  // there move or are left by their callers, and later requests start no stream. Only started streams revealed the stall.
  it('are judged by the next request until a byte arrives', () => {
    const progress = new StreamProgress();
    const before = progress.track('a', 0);
    before.noteBytes(0);
    watch(progress, 0, long);
    before.end();
    expect(watch(progress, long, 2 * long)).toEqual(noTargets);
    const next = progress.track('a', 2 * long);
    expect(watch(progress, 2 * long, 2 * long + short)).toEqual({
      stalled: [],
      unrecovered: ['a'],
    });
    expect(watch(progress, 2 * long + short, 3 * long)).toEqual({
      stalled: ['a'],
      unrecovered: ['a'],
    });
    next.noteBytes(3 * long);
    next.end();
    progress.track('a', 3 * long);
    expect(watch(progress, 3 * long, 4 * long)).toEqual(noTargets);
  });

  it('are forgotten once they no longer exist', () => {
    const progress = new StreamProgress();
    const stream = progress.track('a', 0);
    stream.noteBytes(0);
    watch(progress, 0, long);
    stream.end();
    progress.retain(new Set());
    progress.track('a', long);
    expect(watch(progress, long, 2 * long)).toEqual(noTargets);
  });

  it('are not those whose streams have ended or are paused for a slow caller', () => {
    const progress = new StreamProgress();
    const over = progress.track('a', 0);
    const held = progress.track('a', 0);
    over.noteBytes(0);
    held.noteBytes(0);
    over.end();
    held.pause();
    expect(watch(progress, 0, long)).toEqual(noTargets);
    held.noteBytes(long);
    expect(watch(progress, long, 2 * long).stalled).toEqual(['a']);
  });

  // Guards against a silent head that nothing reveals, because its only stream was paused for its caller after the last bytes.
  it('are judged from the time at which a paused stream is read again', () => {
    const progress = new StreamProgress();
    const held = progress.track('a', 0);
    const unbegun = progress.track('b', 0);
    held.noteBytes(0);
    for (const stream of [held, unbegun]) {
      stream.pause();
      stream.resume(long);
    }
    expect(watch(progress, 0, long + short)).toEqual(noTargets);
    expect(watch(progress, long + short, 2 * long).stalled).toEqual(['a']);
  });

  // A gateway that was suspended has not read the data that arrived meanwhile.
  it('are not judged by time without checks', () => {
    const progress = new StreamProgress();
    progress.track('a', 0).noteBytes(0);
    expect([...progress.review(0).stalled]).toEqual([]);
    expect([...progress.review(long).stalled]).toEqual([]);
    expect(watch(progress, long, 2 * long).stalled).toEqual(['a']);
  });
});
