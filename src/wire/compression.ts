/**
 * Smallest message in bytes that is compressed.
 * Compression pays off for whole configurations; compressing a frame of tokens costs more CPU time than sending it.
 */
export const compressionThreshold = 16 * 1024;
