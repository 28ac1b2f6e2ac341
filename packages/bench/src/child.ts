import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as url from 'node:url';

/** The compiled program of a workspace package. */
export function getProgram(packageName: string, file: string): string {
  return url.fileURLToPath(new URL(`../../../${packageName}/dist/src/${file}`, import.meta.url));
}

/** A process that the bench started, and ends by its own handle. */
export class Child {
  private readonly child: childProcess.ChildProcess;
  private readonly exited: Promise<number | null>;
  private firstLine: Promise<string>;

  public constructor(args: readonly string[], logFile: string, extra: readonly string[] = []) {
    const log = fs.openSync(logFile, 'a');
    this.child = childProcess.spawn(process.execPath, [...extra, ...args], {
      stdio: ['ignore', 'pipe', log],
    });
    fs.closeSync(log);
    const sink = fs.createWriteStream(logFile, { flags: 'a' });
    let text = '';
    this.firstLine = new Promise((resolve) => {
      this.child.stdout?.on('data', (part: Buffer) => {
        sink.write(part);
        if (text !== undefined && !text.includes('\n')) {
          text += part.toString('utf8');
          if (text.includes('\n')) {
            resolve(text.slice(0, text.indexOf('\n')));
          }
        }
      });
    });
    this.exited = new Promise((resolve) => {
      this.child.on('exit', (code) => {
        sink.end();
        resolve(code);
      });
    });
  }

  public get pid(): number {
    return this.child.pid ?? 0;
  }

  /** The first line that it printed. */
  public getFirstLine(): Promise<string> {
    return this.firstLine;
  }

  /** Asks it to stop and waits for its end. */
  public stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Ends it at once. */
  public kill(): Promise<number | null> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Freezes it, or lets it go on. */
  public suspend(isFrozen: boolean): void {
    this.child.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Whether it has ended. */
  public hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }
}

/** Runs a program to its end and gives what it printed. */
export function runProgram(
  args: readonly string[],
  env: Readonly<Record<string, string>>,
): Promise<{ code: number | null; stdout: string; stderr: string }> {
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [...args],
      { env: { ...process.env, ...env }, maxBuffer: 1 << 26 },
      (err, stdout, stderr) => {
        const code = err === null ? 0 : Number((err as { code?: number }).code ?? 1);
        resolve({ code, stdout, stderr });
      },
    );
  });
}
