import { describe, expect, it } from 'vitest';

import { StreamProgress } from '../../src/gateway/direct/index.js';

/** Far beyond any pause of an engine that works. */
const long = 5000;
/** Shorter than the pauses that an engine may make. */
const short = 300;

interface Standing {
  readonly stalled: readonly string[];
  readonly doubted: readonly string[];
}

const nobody: Standing = { stalled: [], doubted: [] };

/** Looks at the streams in the rhythm of a gateway up to a moment; answers what stands still then. */
function watch(progress: StreamProgress, from: number, end: number): Standing {
  let standing = nobody;
  for (let now = from; now <= end; now += StreamProgress.checkInterval) {
    const { stalled, doubted } = progress.review(now);
    standing = { stalled: [...stalled], doubted: [...doubted] };
  }
  return standing;
}

describe('targets that stand still', () => {
  // Symptom: requests wait for their whole time at a head while others have room. Sequence: the host of a head stands still, with its
  // sidecar; its streams are silent, and nobody says why. Cause: only control told gateways of a lost head, and it hears nothing either.
  it('are those whose begun streams are all silent', () => {
    const progress = new StreamProgress();
    const one = progress.follow('a', 0);
    const other = progress.follow('a', 0);
    one.noteBytes(0);
    other.noteBytes(0);
    progress.follow('b', 0).noteBytes(0);
    for (let now = 0; now <= long; now += StreamProgress.checkInterval) {
      other.noteBytes(now);
      progress.review(now);
    }
    expect([...progress.review(long).stalled]).toEqual(['b']);
  });

  it('are found the sooner, the shorter the pauses are that a route wants', () => {
    const progress = new StreamProgress();
    progress.follow('a', 0, 100).noteBytes(0);
    progress.follow('b', 0, 1000).noteBytes(0);
    expect(watch(progress, 0, 1000).stalled).toEqual(['a']);
    expect(watch(progress, 1000, long).stalled).toEqual(['a', 'b']);
  });

  it('do not stand still while nothing has begun there', () => {
    const progress = new StreamProgress();
    progress.follow('a', 0);
    expect(watch(progress, 0, long)).toEqual(nobody);
  });

  it('work again with their first byte', () => {
    const progress = new StreamProgress();
    const stream = progress.follow('a', 0);
    stream.noteBytes(0);
    expect(watch(progress, 0, long)).toEqual({ stalled: ['a'], doubted: ['a'] });
    stream.noteBytes(long);
    expect(watch(progress, long, long + short)).toEqual(nobody);
  });

  // Symptom: callers of a head that stands still wait for their whole time, one group of them after the other. Sequence: the streams that
  // had begun there are moved or left by their callers; what is sent later begins nothing. Cause: only begun streams told of the head.
  it('are judged by the next request, until a byte comes', () => {
    const progress = new StreamProgress();
    const before = progress.follow('a', 0);
    before.noteBytes(0);
    watch(progress, 0, long);
    before.end();
    expect(watch(progress, long, 2 * long)).toEqual(nobody);
    const next = progress.follow('a', 2 * long);
    expect(watch(progress, 2 * long, 2 * long + short)).toEqual({ stalled: [], doubted: ['a'] });
    expect(watch(progress, 2 * long + short, 3 * long)).toEqual({ stalled: ['a'], doubted: ['a'] });
    next.noteBytes(3 * long);
    next.end();
    progress.follow('a', 3 * long);
    expect(watch(progress, 3 * long, 4 * long)).toEqual(nobody);
  });

  it('are forgotten once they are there no more', () => {
    const progress = new StreamProgress();
    const stream = progress.follow('a', 0);
    stream.noteBytes(0);
    watch(progress, 0, long);
    stream.end();
    progress.retain(new Set());
    progress.follow('a', long);
    expect(watch(progress, long, 2 * long)).toEqual(nobody);
  });

  it('are not those whose streams are over, or held back for a slow caller', () => {
    const progress = new StreamProgress();
    const over = progress.follow('a', 0);
    const held = progress.follow('a', 0);
    over.noteBytes(0);
    held.noteBytes(0);
    over.end();
    held.pause();
    expect(watch(progress, 0, long)).toEqual(nobody);
    held.noteBytes(long);
    expect(watch(progress, long, 2 * long).stalled).toEqual(['a']);
  });

  // A gateway that did not run for a while has not read what came meanwhile.
  it('are not judged by time in which nobody looked', () => {
    const progress = new StreamProgress();
    progress.follow('a', 0).noteBytes(0);
    expect([...progress.review(0).stalled]).toEqual([]);
    expect([...progress.review(long).stalled]).toEqual([]);
    expect(watch(progress, long, 2 * long).stalled).toEqual(['a']);
  });
});
