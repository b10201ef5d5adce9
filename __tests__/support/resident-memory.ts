/** The memory of a process that a test has started. */
import { readFile } from 'node:fs/promises';

const bytesPerKilobyte = 1024;

/** Resident memory in bytes; undefined if the process has ended. */
export function readResidentMemory(pid: number): Promise<number | undefined> {
  return readStatus(pid, 'VmRSS');
}

/** The most resident memory so far in bytes; undefined if the process has ended. */
export function readPeakMemory(pid: number): Promise<number | undefined> {
  return readStatus(pid, 'VmHWM');
}

async function readStatus(pid: number, field: string): Promise<number | undefined> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '');
  const kilobytes = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1];
  return kilobytes === undefined ? undefined : Number(kilobytes) * bytesPerKilobyte;
}
