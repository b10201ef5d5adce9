/**
 * Messages from this many bytes on are compressed.
 * Whole configurations gain by it; a frame of tokens costs more processor time to compress than to send.
 */
export const smallestCompressed = 16 * 1024;
