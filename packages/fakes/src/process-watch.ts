import * as fs from 'node:fs';

/** Interval at which descriptors and processor time are sampled, in milliseconds. */
const SAMPLE_MS = 50;

/** Time without use of the processor after which a process is idle, in milliseconds. */
const IDLE_MS = 500;

/** Processor time of an idle process between two samples, in hundredths of a second. */
const MAX_IDLE_TICKS = 1;

/** Longest wait for an idle process, in milliseconds. */
const MAX_WAIT_MS = 60_000;

const KB_PER_MB = 1_024;

/** Watches what a process holds, from outside. */
export class ProcessWatch {
  /** Largest number of open descriptors in any sample. */
  public peakDescriptors = 0;
  private readonly timer: NodeJS.Timeout;

  public constructor(private readonly pid: number) {
    this.timer = setInterval(() => this.sampleDescriptors(), SAMPLE_MS);
    this.timer.unref();
    this.sampleDescriptors();
  }

  /** Whether the process runs. */
  public isAlive(): boolean {
    return fs.existsSync(`/proc/${this.pid}/fd`) && !/^State:\s+Z/m.test(this.readStatus());
  }

  /** Returns the peak of the resident memory since the start, in MB; `undefined` after the process has ended. */
  public findPeakMb(): number | undefined {
    const [, kb] = /^VmHWM:\s+(\d+) kB/m.exec(this.readStatus()) ?? [];
    return kb === undefined ? undefined : Math.round(Number(kb) / KB_PER_MB);
  }

  /** Waits until the process has handled what has reached it, or has ended. */
  public async waitIdle(): Promise<void> {
    const endsAt = performance.now() + MAX_WAIT_MS;
    let idleMs = 0;
    let ticks = this.readTicks();
    while (this.isAlive() && idleMs < IDLE_MS && performance.now() < endsAt) {
      await new Promise((resolve) => {
        setTimeout(resolve, SAMPLE_MS);
      });
      const now = this.readTicks();
      idleMs = now - ticks <= MAX_IDLE_TICKS ? idleMs + SAMPLE_MS : 0;
      ticks = now;
    }
  }

  /** Ends the sampling. */
  public stop(): void {
    clearInterval(this.timer);
  }

  private sampleDescriptors(): void {
    try {
      const count = fs.readdirSync(`/proc/${this.pid}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, count);
    } catch {
      // The process has ended; its last samples stay.
    }
  }

  private readTicks(): number {
    const stat = this.read('stat');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
  }

  private readStatus(): string {
    return this.read('status');
  }

  private read(file: string): string {
    try {
      return fs.readFileSync(`/proc/${this.pid}/${file}`, 'utf8');
    } catch {
      return '';
    }
  }
}
