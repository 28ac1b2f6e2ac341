import * as fs from 'node:fs';

/** The kernel counts processor time in hundredths of a second. */
const TICKS_PER_SECOND = 100;

/** The kernel counts memory in pages. */
const PAGE_BYTES = 4_096;

/** What a process has used so far. */
export interface Usage {
  readonly cpuS: number;
  readonly memoryMb: number;
}

/** Reads what a process has used so far, itself and its threads. */
export function getUsage(pid: number): Usage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const cpuS = (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
  const memoryMb = (Number(fields[21]) * PAGE_BYTES) / 2 ** 20;
  return { cpuS, memoryMb };
}
