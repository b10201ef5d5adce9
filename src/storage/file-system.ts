import { mkdir, open, readFile, readdir, rename, rm, truncate } from 'node:fs/promises';

/** The file operations that the data folder needs, behind an interface so that tests can substitute a failing disk. */

/** An append-only file. */
export interface AppendFile {
  readonly append: (bytes: Uint8Array) => Promise<void>;
  /** Resolves once everything appended so far survives a power failure. */
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
}

export interface FileSystem {
  /** Creates a folder and its missing parents. */
  readonly createFolder: (path: string) => Promise<void>;
  readonly listFiles: (folder: string) => Promise<readonly string[]>;
  /** Returns undefined when the file does not exist. */
  readonly readFile: (path: string) => Promise<Uint8Array | undefined>;
  /** Writes a whole file and syncs its content; `syncFolder` makes its directory entry durable. */
  readonly writeFile: (path: string, bytes: Uint8Array) => Promise<void>;
  readonly openForAppend: (path: string) => Promise<AppendFile>;
  readonly truncate: (path: string, length: number) => Promise<void>;
  readonly rename: (from: string, to: string) => Promise<void>;
  readonly remove: (path: string) => Promise<void>;
  /** Makes the creation, renaming and removal of files in the folder survive a power failure. */
  readonly syncFolder: (folder: string) => Promise<void>;
}

/** The file system of this host. */
export const hostFileSystem: FileSystem = {
  createFolder: async (path) => {
    await mkdir(path, { recursive: true });
  },
  listFiles: (folder) => readdir(folder),
  readFile: readFileIfPresent,
  writeFile: async (path, bytes) => {
    await withFile(path, 'w', async (file) => {
      await file.writeFile(bytes);
      await file.sync();
    });
  },
  openForAppend,
  truncate: async (path, length) => {
    await truncate(path, length);
    await withFile(path, 'r+', (file) => file.sync());
  },
  rename: (from, to) => rename(from, to),
  remove: (path) => rm(path),
  syncFolder: (folder) => withFile(folder, 'r', (file) => file.sync()),
};

type FileHandle = Awaited<ReturnType<typeof open>>;

async function withFile(
  path: string,
  flags: string,
  use: (file: FileHandle) => Promise<void>,
): Promise<void> {
  const file = await open(path, flags);
  try {
    await use(file);
  } finally {
    await file.close();
  }
}

async function openForAppend(path: string): Promise<AppendFile> {
  const file = await open(path, 'a');
  return {
    append: (bytes) => file.appendFile(bytes),
    sync: () => file.datasync(),
    close: () => file.close(),
  };
}

async function readFileIfPresent(path: string): Promise<Uint8Array | undefined> {
  try {
    return await readFile(path);
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'ENOENT') {
      return undefined;
    }
    throw error;
  }
}
