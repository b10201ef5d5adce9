import { describe, expect, it } from 'vitest';

import { WatcherDirectory, type WatcherState } from '../../src/control/watcher-directory.js';

function createWord(revision: number, control: string): WatcherState {
  return { name: 'gateway-1', kind: 'gateway', revision, address: null, control };
}

function listRevisions(directory: WatcherDirectory): readonly number[] {
  return directory.list().map(({ state }) => state.revision);
}

describe('watcher directory', () => {
  /*
   * Symptom: `get --in-force` shows a gateway behind for good although it serves the newest revision.
   * Sequence: the gateway watches control-2, which has no quorum yet, and moves to control-1; a change; the gateway tells
   * control-1; control-2 passes on the word that it had.
   * Cause: the word passed on last was taken, whichever was older.
   */
  it('does not let a word passed on take back a newer one', () => {
    const directory = new WatcherDirectory();
    directory.take(createWord(2, 'control-1'), 10);
    directory.takeForwarded(createWord(0, 'control-2'), 20);
    expect(directory.list()).toEqual([{ state: createWord(2, 'control-1'), heardAt: 10 }]);
  });

  it('takes a newer word passed on, and the word of a gateway that was started again', () => {
    const directory = new WatcherDirectory();
    directory.takeForwarded(createWord(3, 'control-2'), 10);
    expect(listRevisions(directory)).toEqual([3]);
    directory.take(createWord(1, 'control-1'), 20);
    expect(listRevisions(directory)).toEqual([1]);
  });

  /*
   * Symptom: a gateway that was switched off an hour ago is shown as seen just now.
   * Sequence: its watch of control-2 ends; control-2 goes on passing on its last word, which counts as heard of now.
   * Cause: words were passed on for every gateway ever watched, not only for those that watch now.
   */
  it('speaks only for gateways that watch now', () => {
    const directory = new WatcherDirectory();
    directory.take(createWord(1, 'control-1'), 0);
    expect(directory.listStates([])).toEqual([]);
    expect(directory.listStates(['gateway-1', 'unknown'])).toEqual([createWord(1, 'control-1')]);
  });
});
