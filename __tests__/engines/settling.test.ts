import { describe, expect, it } from 'vitest';

import { Settling, type EngineView } from '../../src/engines/index.js';

function createViews(answering: number, missing: number): ReadonlyMap<string, EngineView> {
  const reading = {
    instance: { id: 'i' },
    fabricDomain: 'd',
    staged: [],
    isBusy: false,
    running: 0,
    waiting: 0,
    slowdown: 1,
  };
  const facts = { failureDomain: 'a', address: '10.0.0.1:1', service: 'engines' };
  return new Map(
    Array.from({ length: answering + missing }, (_, index): [string, EngineView] => {
      const isAnswering = index < answering;
      const host = `h${index}`;
      return [host, { host, reportAge: 0, facts: isAnswering ? { ...facts, reading } : facts }];
    }),
  );
}

describe('the first placement', () => {
  /**
   * Guards against this failure: the groups of four open only at the moment of the first request. Engines started one after another, the
   * first two formed a group of two, and so on; later, two groups of two were dissolved for each group of four.
   */
  it('waits until all engines that have a sidecar answer', () => {
    const settling = new Settling();
    expect(settling.isSettling(createViews(0, 0), 0)).toBe(true);
    expect(settling.isSettling(createViews(2, 28), 100)).toBe(true);
    expect(settling.isSettling(createViews(29, 1), 2500)).toBe(true);
    expect(settling.isSettling(createViews(30, 0), 2600)).toBe(false);
    expect(settling.isSettling(createViews(29, 1), 2700)).toBe(false);
  });

  it('does not wait forever for an engine that never answers', () => {
    const settling = new Settling();
    expect(settling.isSettling(createViews(29, 1), 0)).toBe(true);
    expect(settling.isSettling(createViews(29, 1), 4500)).toBe(false);
  });

  it('does not wait if groups were placed before', () => {
    const settling = new Settling();
    settling.end();
    expect(settling.isSettling(createViews(1, 29), 0)).toBe(false);
  });
});
