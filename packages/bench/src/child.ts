import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as url from 'node:url';

/** Returns the path of a compiled program of a workspace package. */
export function getProgram(packageName: string, file: string): string {
  return url.fileURLToPath(new URL(`../../../${packageName}/dist/src/${file}`, import.meta.url));
}

/** A Node.js process started by the bench; its output goes to a log file. */
export class Child {
  private readonly child: childProcess.ChildProcess;
  private readonly exited: Promise<number | null>;
  private firstLine: Promise<string>;

  public constructor(args: readonly string[], logFile: string, nodeArgs: readonly string[] = []) {
    const log = fs.openSync(logFile, 'a');
    this.child = childProcess.spawn(process.execPath, [...nodeArgs, ...args], {
      stdio: ['ignore', 'pipe', log],
    });
    fs.closeSync(log);
    const logStream = fs.createWriteStream(logFile, { flags: 'a' });
    let text = '';
    this.firstLine = new Promise((resolve) => {
      this.child.stdout?.on('data', (part: Buffer) => {
        logStream.write(part);
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
        logStream.end();
        resolve(code);
      });
    });
  }

  public get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Returns the first line that the process prints to stdout. */
  public getFirstLine(): Promise<string> {
    return this.firstLine;
  }

  /** Sends SIGTERM and waits for the exit code. */
  public stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Sends SIGKILL and waits for the exit. */
  public kill(): Promise<number | null> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Suspends the process with SIGSTOP, or resumes it with SIGCONT. */
  public suspend(isSuspended: boolean): void {
    this.child.kill(isSuspended ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Returns whether the process has exited. */
  public hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }
}

/** Runs a program until it exits and returns its exit code and output. */
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
