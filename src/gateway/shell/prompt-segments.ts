import { digest } from '../../common/index.js';

/** Divides a prompt into segments, which other prompts may share. */

/** Segments of one prompt, each of which takes memory until its request is over. No conversation has as many messages. */
const maximumSegments = 1024;
/** Length of the prompt prefix in the affinity key: requests that share it profit from a warm cache. */
const affinityCharacters = 512;

/**
 * Digests of the segments: the messages before the last one, which belongs to the request itself. Those beyond the maximum are one segment
 * together.
 */
export function listPromptSegments(messages: readonly unknown[]): readonly string[] {
  const separate = Math.min(messages.length - 1, maximumSegments - 1);
  const segments = messages.slice(0, separate).map(digestValue);
  const rest = messages.slice(separate, -1);
  return [...new Set(rest.length === 0 ? segments : [...segments, digestValue(rest)])];
}

/** The beginning of the prompt as text. */
export function readPromptPrefix(messages: readonly unknown[]): string {
  let prefix = '[';
  for (const message of messages) {
    if (prefix.length >= affinityCharacters) {
      break;
    }
    prefix += `${prefix === '[' ? '' : ','}${JSON.stringify(message)}`;
  }
  return `${prefix}]`.slice(0, affinityCharacters);
}

function digestValue(value: unknown): string {
  return digest([JSON.stringify(value)]);
}
