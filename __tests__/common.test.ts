import { describe, expect, it } from 'vitest';

import { Blackboard, resultCodeNames, resultCodes } from '../src/common/index.js';

describe('result codes', () => {
  it('gives every code a number of its own', () => {
    const numbers = resultCodeNames().map((name) => resultCodes[name].number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});

describe('blackboard', () => {
  it('gives each section one owner', () => {
    const board = new Blackboard({ count: 0 });
    const write = board.own('count');
    write(3);
    expect(board.read('count')).toBe(3);
    expect(() => board.own('count')).toThrow('already has an owner');
  });
});
