import { createHash } from 'node:crypto';

/** SHA-256 of the parts in hexadecimal; each part is terminated by a zero byte. */
export function digest(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(part).update('\0');
  }
  return hash.digest('hex');
}
