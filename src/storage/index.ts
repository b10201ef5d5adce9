export { ensureFolderWritable } from './writable-folder.js';
export { DataFolder, defaultLogFileBytes, type DataFolderSettings } from './data-folder.js';
export { hostFileSystem, type AppendFile, type FileSystem } from './file-system.js';
export { Journal, type ChangeWriter, type JournalObserver } from './journal.js';
export type { StorageNotice } from './log-files.js';
