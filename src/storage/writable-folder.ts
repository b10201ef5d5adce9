import { accessSync, constants, mkdirSync } from 'node:fs';

/** Creates the folder if it is missing; returns whether this process may write to it. */
export function ensureFolderWritable(path: string): boolean {
  try {
    mkdirSync(path, { recursive: true });
    accessSync(path, constants.W_OK);
    return true;
  } catch {
    // The disk is missing or not writable; the caller logs it.
    return false;
  }
}
