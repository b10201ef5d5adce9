/** The memory of a process that a test has started. */
import { readFile } from 'node:fs/promises';

const bytesPerKilobyte = 1024;

/** Resident memory in bytes; undefined if the process has ended. */
export async function readResidentMemory(pid: number): Promise<number | undefined> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return kilobytes === undefined ? undefined : Number(kilobytes) * bytesPerKilobyte;
}
