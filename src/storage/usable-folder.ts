import { accessSync, constants, mkdirSync } from 'node:fs';

/** Whether there is a folder at the path that this process may write to; made where it is missing. */
export function isFolderUsable(path: string): boolean {
  try {
    mkdirSync(path, { recursive: true });
    accessSync(path, constants.W_OK);
    return true;
  } catch {
    // There is no disk, or it takes no files: the caller says so in its log.
    return false;
  }
}
