import { describe, expect, it } from 'vitest';

import { listPromptSegments, readPromptPrefix } from '../../src/gateway/shell/prompt-segments.js';

/** What a prompt has at most. */
const maximumSegments = 1024;

function createMessages(count: number): readonly unknown[] {
  return Array.from({ length: count }, (_, index) => ({ role: 'user', content: String(index) }));
}

// Guards against prompts of very many messages that keep a gateway from its other callers, and fill its memory, with what it notes of each.
describe('the segments of a prompt', () => {
  it('are its messages before the last one, each once', () => {
    const [first, second, last] = createMessages(3);
    expect(listPromptSegments([last])).toEqual([]);
    const segments = listPromptSegments([first, second, first, last]);
    expect(segments).toHaveLength(2);
    expect(listPromptSegments([first, last])).toEqual(segments.slice(0, 1));
  });

  it.each([maximumSegments, maximumSegments + 1, 50_000])('of %i messages are few', (count) => {
    const messages = createMessages(count);
    const segments = listPromptSegments(messages);
    expect(segments).toHaveLength(Math.min(count - 1, maximumSegments));
    const others = [
      ...messages.slice(0, -2),
      { role: 'user', content: 'other' },
      ...messages.slice(-1),
    ];
    expect(listPromptSegments(others).slice(0, -1)).toEqual(segments.slice(0, -1));
    expect(listPromptSegments(others).at(-1)).not.toBe(segments.at(-1));
  });
});

// Guards against an affinity key that depends on more, or less, than the beginning of a prompt.
describe('the prefix of a prompt', () => {
  it.each([1, 2, 10, 1000])('is the beginning of its text, with %i messages', (count) => {
    const messages = createMessages(count);
    expect(readPromptPrefix(messages)).toBe(JSON.stringify(messages).slice(0, 512));
  });
});
