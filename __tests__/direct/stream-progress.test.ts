import { describe, expect, it } from 'vitest';

import { StreamProgress } from '../../src/gateway/direct/index.js';

/** Far beyond any pause of an engine that works. */
const long = 5000;

/** Looks at the streams in the rhythm of a gateway up to a moment; answers what stands still then. */
function watchUntil(progress: StreamProgress, from: number, end: number): readonly string[] {
  let stalled: ReadonlySet<string> = new Set();
  for (let now = from; now <= end; now += StreamProgress.checkInterval) {
    stalled = progress.findStalled(now);
  }
  return [...stalled];
}

describe('targets that stand still', () => {
  // Symptom: requests wait for their whole time at a head while others have room. Sequence: the host of a head stands still, with its
  // sidecar; its streams are silent, and nobody says why. Cause: only control told gateways of a lost head, and it hears nothing either.
  it('are those whose begun streams are all silent', () => {
    const progress = new StreamProgress();
    const one = progress.follow('a');
    const other = progress.follow('a');
    one.noteBytes(0);
    other.noteBytes(0);
    progress.follow('b').noteBytes(0);
    for (let now = 0; now <= long; now += StreamProgress.checkInterval) {
      other.noteBytes(now);
      progress.findStalled(now);
    }
    expect([...progress.findStalled(long)]).toEqual(['b']);
  });

  it('do not stand still while nothing has begun there', () => {
    const progress = new StreamProgress();
    progress.follow('a');
    expect(watchUntil(progress, 0, long)).toEqual([]);
  });

  it('work again with their first byte', () => {
    const progress = new StreamProgress();
    const stream = progress.follow('a');
    stream.noteBytes(0);
    expect(watchUntil(progress, 0, long)).toEqual(['a']);
    stream.noteBytes(long);
    expect(watchUntil(progress, long, long)).toEqual([]);
  });

  it('are not those whose streams are over, or held back for a slow caller', () => {
    const progress = new StreamProgress();
    const over = progress.follow('a');
    const held = progress.follow('a');
    over.noteBytes(0);
    held.noteBytes(0);
    over.end();
    held.pause();
    expect(watchUntil(progress, 0, long)).toEqual([]);
    held.noteBytes(long);
    expect(watchUntil(progress, long, 2 * long)).toEqual(['a']);
  });

  // A gateway that did not run for a while has not read what came meanwhile.
  it('are not judged by time in which nobody looked', () => {
    const progress = new StreamProgress();
    progress.follow('a').noteBytes(0);
    expect([...progress.findStalled(0)]).toEqual([]);
    expect([...progress.findStalled(long)]).toEqual([]);
    expect(watchUntil(progress, long, 2 * long)).toEqual(['a']);
  });
});
