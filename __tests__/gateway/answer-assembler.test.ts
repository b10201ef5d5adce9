import { describe, expect, it } from 'vitest';

import { AnswerAssembler } from '../../src/gateway/answer-assembler.js';

const megabyte = 1024 * 1024;

// Guards against a gateway that reads comments and blank lines of a faulty upstream for minutes, while its other callers wait.
describe('a stream without events', () => {
  it.each([
    ['blank lines', '\n'],
    ['comments', ': x\n\n'],
    ['a line', 'x'],
  ])('is given up long before the size of the largest answer: %s', (_, repeated) => {
    const answer = new AnswerAssembler(16 * megabyte);
    answer.setHead(200, [{ name: 'content-type', value: 'text/event-stream' }]);
    const bytes = Buffer.from(repeated.repeat(Math.ceil((256 * 1024 + 1) / repeated.length)));
    expect(answer.append(bytes)).toEqual({ type: 'tooLarge' });
  });

  it('goes on with as many bytes in events', () => {
    const answer = new AnswerAssembler(megabyte);
    answer.setHead(200, [{ name: 'content-type', value: 'text/event-stream' }]);
    const event = Buffer.from(`data: ${'x'.repeat(128 * 1024)}\n\n`);
    const results = Array.from({ length: 16 }, () => answer.append(event).type);
    expect(results.filter((type) => type !== 'effects')).toEqual([]);
  });
});
