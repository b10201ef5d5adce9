import { basename, dirname } from 'node:path';

import type { AppendFile, FileSystem } from '../../src/storage/index.js';

interface MemoryFile {
  content: Buffer;
  synced: Buffer;
}

interface Stall {
  readonly resumed: Promise<void>;
  readonly resume: () => void;
}

/** An in-memory file system: content is durable once its file is synced, a name once its folder is synced. */
export class MemoryFileSystem implements FileSystem {
  #names = new Map<string, MemoryFile>();
  #syncedNames = new Map<string, MemoryFile>();
  /** Number of operations that succeed before every further one fails. */
  remainingOperations = Number.POSITIVE_INFINITY;
  syncCount = 0;
  #stall: Stall | undefined;

  /** Lets every further operation wait, as a disk that hangs does. */
  stall(): void {
    let resume: () => void = () => undefined;
    const resumed = new Promise<void>((resolve) => {
      resume = resolve;
    });
    this.#stall = { resumed, resume };
  }

  resume(): void {
    this.#stall?.resume();
    this.#stall = undefined;
  }

  /** Discards unsynced data, except the first `keptBytes` bytes of what was appended after the last sync. */
  crash(keptBytes: number): void {
    this.remainingOperations = Number.POSITIVE_INFINITY;
    for (const file of this.#syncedNames.values()) {
      const isAppended = file.content.subarray(0, file.synced.length).equals(file.synced);
      const length = file.synced.length + keptBytes;
      file.content = isAppended ? file.content.subarray(0, length) : file.synced;
      file.synced = file.content;
    }
    this.#names = new Map(this.#syncedNames);
  }

  /** Changes the content of a file directly, as corruption would. */
  tamper(path: string, change: (content: Buffer) => Buffer): void {
    const file = this.#find(path);
    file.content = change(Buffer.from(file.content));
    file.synced = file.content;
  }

  /** Bytes in all files. */
  get size(): number {
    return [...this.#names.values()].reduce((sum, { content }) => sum + content.length, 0);
  }

  has(path: string): boolean {
    return this.#names.has(path);
  }

  sizeOf(path: string): number {
    return this.#find(path).content.length;
  }

  readonly createFolder = (): Promise<void> => Promise.resolve();

  readonly listFiles = (folder: string): Promise<readonly string[]> => {
    const paths = [...this.#names.keys()].filter((path) => dirname(path) === folder);
    return Promise.resolve(paths.map((path) => basename(path)));
  };

  readonly readFile = (path: string): Promise<Uint8Array | undefined> =>
    Promise.resolve(this.#names.get(path)?.content);

  readonly writeFile = (path: string, bytes: Uint8Array): Promise<void> =>
    this.#operate(() => {
      const content = Buffer.from(bytes);
      this.#names.set(path, { content, synced: content });
    });

  readonly openForAppend = (path: string): Promise<AppendFile> => {
    const file = this.#names.get(path) ?? { content: Buffer.alloc(0), synced: Buffer.alloc(0) };
    this.#names.set(path, file);
    return Promise.resolve({
      append: (bytes: Uint8Array) =>
        this.#operate(() => {
          file.content = Buffer.concat([file.content, bytes]);
        }),
      sync: () =>
        this.#operate(() => {
          this.syncCount += 1;
          file.synced = file.content;
        }),
      close: () => Promise.resolve(),
    });
  };

  readonly truncate = (path: string, length: number): Promise<void> =>
    this.#operate(() => {
      this.tamper(path, (content) => content.subarray(0, length));
    });

  readonly rename = (from: string, to: string): Promise<void> =>
    this.#operate(() => {
      this.#names.set(to, this.#find(from));
      this.#names.delete(from);
    });

  readonly remove = (path: string): Promise<void> =>
    this.#operate(() => {
      this.#names.delete(path);
    });

  readonly syncFolder = (): Promise<void> =>
    this.#operate(() => {
      this.#syncedNames = new Map(this.#names);
    });

  #find(path: string): MemoryFile {
    const file = this.#names.get(path);
    if (file === undefined) {
      throw new Error(`no file ${path}`);
    }
    return file;
  }

  async #operate(operation: () => void): Promise<void> {
    if (this.#stall !== undefined) {
      await this.#stall.resumed;
    }
    if (this.remainingOperations <= 0) {
      throw new Error('the disk is gone');
    }
    this.remainingOperations -= 1;
    operation();
  }
}
