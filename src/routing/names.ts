import { z } from 'zod';

/** Longest name in routing, in characters: names end up in every log line. */
const longestName = 200;

/** Any name in routing documents and in what instances say of themselves. */
export const nameSchema = z.string().min(1).max(longestName);
