/** Processor time and memory of processes, as Linux shows them under /proc. */
import { readFileSync } from 'node:fs';

/** Linux counts processor time in ticks of 10 ms (USER_HZ). */
const millisecondsPerTick = 10;

export interface ProcessUsage {
  /** User and system time together, in milliseconds. */
  readonly cpuMilliseconds: number;
  /** Resident memory in megabytes (2^20 bytes). */
  readonly residentMegabytes: number;
}

/** Usage of one process since its start. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The second field is the program's name in brackets and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return {
    cpuMilliseconds: ticks * millisecondsPerTick,
    residentMegabytes: Number(resident ?? 0) / 1024,
  };
}

/** Sum over several processes. */
export function sumProcessUsage(pids: readonly number[]): ProcessUsage {
  const usages = pids.map(readProcessUsage);
  return {
    cpuMilliseconds: usages.reduce((sum, usage) => sum + usage.cpuMilliseconds, 0),
    residentMegabytes: usages.reduce((sum, usage) => sum + usage.residentMegabytes, 0),
  };
}
