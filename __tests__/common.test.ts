import { describe, expect, it } from 'vitest';

import { Blackboard, resultCodeNames, resultCodes } from '../src/common/index.js';

describe('result codes', () => {
  it('gives every code a unique number', () => {
    const numbers = resultCodeNames().map((name) => resultCodes[name].number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });
});

describe('blackboard', () => {
  it('allows only one owner per section', () => {
    const board = new Blackboard({ count: 0 });
    const write = board.own('count');
    write(3);
    expect(board.read('count')).toBe(3);
    expect(() => board.own('count')).toThrow('already has an owner');
  });
});
