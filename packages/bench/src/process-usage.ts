import * as fs from 'node:fs';

/** Unit of processor time in /proc (USER_HZ): hundredths of a second. */
const TICKS_PER_SECOND = 100;

/** Unit of memory in /proc/PID/stat. */
const PAGE_BYTES = 4_096;

/** Processor time used by a process so far, and its resident memory. */
export interface Usage {
  readonly cpuS: number;
  readonly memoryMb: number;
}

/** Reads the resource usage of a process with all its threads. */
export function getUsage(pid: number): Usage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const cpuS = (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
  const memoryMb = (Number(fields[21]) * PAGE_BYTES) / 2 ** 20;
  return { cpuS, memoryMb };
}
