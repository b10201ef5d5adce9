/** The parts of OpenAI-style chat completions that the stand-in engine supports. */

import { z } from 'zod';

const defaultTokens = 16;
const maximumTokens = 100_000;

/** Fields of a request that the stand-in reads. */
export const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(maximumTokens).default(defaultTokens),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Tokens repeat the words of the caller's last message, so that a test can tell which request a response belongs to. */
export function createToken(chat: ChatRequest, index: number): string {
  const words = (chat.messages.at(-1)?.content ?? '').split(' ');
  return `${words[index % words.length] ?? ''}#${index} `;
}

/** Formats a server-sent event with one token. */
export function formatChunk(chat: ChatRequest, id: string, token: string): string {
  const chunk = {
    id,
    object: 'chat.completion.chunk',
    model: chat.model,
    choices: [{ index: 0, delta: { content: token }, finish_reason: null }],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

/** The last server-sent event of a complete response. */
export const doneEvent = 'data: [DONE]\n\n';

/** Formats the body of a response that is not streamed. */
export function formatCompletion(chat: ChatRequest, id: string, text: string): string {
  return JSON.stringify({
    id,
    object: 'chat.completion',
    model: chat.model,
    choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }],
    usage: { completion_tokens: chat.max_tokens },
  });
}
