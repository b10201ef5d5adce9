import { describe, expect, it } from 'vitest';

import { WatcherDirectory, type WatcherState } from '../../src/control/watcher-directory.js';

function createState(revision: number, control: string): WatcherState {
  return { name: 'gateway-1', kind: 'gateway', revision, address: null, control };
}

function listRevisions(directory: WatcherDirectory): readonly number[] {
  return directory.list().map(({ state }) => state.revision);
}

describe('watcher directory', () => {
  /**
   * Guards against `get --in-force` permanently showing a gateway as behind although it serves the newest revision. The gateway
   * watches control-2, which has no quorum yet, and moves to control-1. After a change it acknowledges the new revision to control-1,
   * and control-2 forwards its older state. The state forwarded last used to win, whichever was older.
   */
  it('does not let a forwarded state replace a newer one', () => {
    const directory = new WatcherDirectory();
    directory.record(createState(2, 'control-1'), 10);
    directory.recordForwarded(createState(0, 'control-2'), 20);
    expect(directory.list()).toEqual([{ state: createState(2, 'control-1'), heardAt: 10 }]);
  });

  it('accepts a newer forwarded state, and the state of a restarted gateway', () => {
    const directory = new WatcherDirectory();
    directory.recordForwarded(createState(3, 'control-2'), 10);
    expect(listRevisions(directory)).toEqual([3]);
    directory.record(createState(1, 'control-1'), 20);
    expect(listRevisions(directory)).toEqual([1]);
  });

  /**
   * Guards against a gateway that was switched off an hour ago being shown as just seen. After its watch of control-2 had ended,
   * control-2 kept forwarding its last state, which counted as heard now. States used to be forwarded for every gateway ever watched,
   * not only for those with an open watch.
   */
  it('lists only the states of gateways with an open watch', () => {
    const directory = new WatcherDirectory();
    directory.record(createState(1, 'control-1'), 0);
    expect(directory.listStates([])).toEqual([]);
    expect(directory.listStates(['gateway-1', 'unknown'])).toEqual([createState(1, 'control-1')]);
  });
});
