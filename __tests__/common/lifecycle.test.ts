import { describe, expect, it } from 'vitest';

import { LifecycleManager, type ManagedPart } from '../../src/common/index.js';

const events: string[] = [];

function createManager(parts: readonly ManagedPart[]): LifecycleManager {
  events.length = 0;
  const manager = new LifecycleManager({
    opened: (name) => events.push(`${name} opened`),
    closed: (name) => events.push(`${name} closed`),
    failed: (name) => events.push(`${name} failed`),
  });
  for (const part of parts) {
    manager.add(part);
  }
  return manager;
}

function createPart(name: string, open: ManagedPart['open'] = () => undefined): ManagedPart {
  return { name, open, close: () => undefined };
}

interface SlowPart extends ManagedPart {
  /** Resolves once the part is opening. */
  readonly begun: Promise<void>;
  readonly finish: (error?: Error) => void;
}

/** A part that opens when the test says so. */
function createSlowPart(name: string): SlowPart {
  const { promise, resolve, reject } = createDeferred();
  const begun = createDeferred();
  const finish = (error?: Error): void => {
    if (error === undefined) {
      resolve();
    } else {
      reject(error);
    }
  };
  const open = (): Promise<void> => {
    begun.resolve();
    return promise;
  };
  return { ...createPart(name, open), begun: begun.promise, finish };
}

function createDeferred(): {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
} {
  let resolve: () => void = () => undefined;
  let reject: (error: Error) => void = () => undefined;
  const promise = new Promise<void>((onResolved, onRejected) => {
    resolve = onResolved;
    reject = onRejected;
  });
  return { promise, resolve, reject };
}

// Failure: parts that open after a stop began stay open and serve, and the process exits under their requests.
describe('a lifecycle that is closed while it opens', () => {
  it('closes the part that is opening, and opens no further one', async () => {
    const slow = createSlowPart('slow');
    const manager = createManager([createPart('first'), slow, createPart('last')]);
    const opening = manager.open();
    await slow.begun;
    const closing = manager.close();
    slow.finish();
    expect(await opening).toBe('closed');
    await closing;
    expect(events).toEqual(['first opened', 'slow opened', 'slow closed', 'first closed']);
  });

  it('closes what is open when the part that is opening fails', async () => {
    const slow = createSlowPart('slow');
    const manager = createManager([createPart('first'), slow, createPart('last')]);
    const opening = manager.open();
    await slow.begun;
    const closing = manager.close();
    slow.finish(new Error('no'));
    await expect(opening).rejects.toThrow('no');
    await closing;
    expect(events).toEqual(['first opened', 'slow failed', 'first closed']);
  });

  it('opens nothing when it was closed before', async () => {
    const manager = createManager([createPart('first')]);
    await manager.close();
    expect(await manager.open()).toBe('closed');
    expect(events).toEqual([]);
  });
});

describe('a lifecycle', () => {
  it('closes in reverse order what it opened, once', async () => {
    const manager = createManager([createPart('first'), createPart('last')]);
    expect(await manager.open()).toBe('open');
    await Promise.all([manager.close(), manager.close()]);
    expect(events).toEqual(['first opened', 'last opened', 'last closed', 'first closed']);
  });
});
