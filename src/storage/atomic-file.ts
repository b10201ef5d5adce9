import { join } from 'node:path';

import { createFailure, FailureError } from '../common/index.js';
import type { FileSystem } from './file-system.js';
import { decodeFrames, encodeFrame } from './frame.js';

const temporarySuffix = '.temporary';

/**
 * A small checksummed file that is replaced atomically: after a crash it holds the old content or the new one, never a mixture.
 * The new content is written to a temporary file and synced, the file is renamed, and the folder is synced.
 */
export class AtomicFile {
  readonly #files: FileSystem;
  readonly #folder: string;
  readonly #name: string;

  constructor(files: FileSystem, folder: string, name: string) {
    this.#files = files;
    this.#folder = folder;
    this.#name = name;
  }

  /** Returns undefined when the file does not exist; throws when it is damaged. */
  async read(): Promise<unknown> {
    const bytes = await this.#files.readFile(this.#path);
    if (bytes === undefined) {
      return undefined;
    }
    const { contents, end } = decodeFrames(Buffer.from(bytes));
    const [content] = contents;
    if (content === undefined || end !== 'whole') {
      throw new FailureError(createFailure('damagedLog', `${this.#path} has a wrong checksum`));
    }
    return JSON.parse(content.toString()) as unknown;
  }

  async replace(value: unknown): Promise<void> {
    const temporaryPath = this.#path + temporarySuffix;
    await this.#files.writeFile(temporaryPath, encodeFrame(Buffer.from(JSON.stringify(value))));
    await this.#files.rename(temporaryPath, this.#path);
    await this.#files.syncFolder(this.#folder);
  }

  get #path(): string {
    return join(this.#folder, this.#name);
  }
}

/** Whether a file is the temporary file of a replacement that a crash interrupted. */
export function isTemporaryFile(name: string): boolean {
  return name.endsWith(temporarySuffix);
}
