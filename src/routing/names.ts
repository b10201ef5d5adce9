import { z } from 'zod';

/** Limit on the length of names, in characters, because names are part of every log line. */
const maximumNameLength = 200;

/** A name in a routing document or an announcement of an instance. */
export const nameSchema = z.string().min(1).max(maximumNameLength);
