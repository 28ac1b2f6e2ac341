/** A test that is known to fail: its source file without `.test.ts`, and its name. */
export interface KnownRed {
  readonly file: string;
  readonly test: string;
}

/** Result of running one test file. */
export interface TestRun {
  /** The compiled file. */
  readonly file: string;
  /** Exit code; null when the process was killed by a signal. */
  readonly code: number | null;
  readonly stdout: string;
}

/** Verdict on the run of one test file. */
export interface TestVerdict {
  /** Number of failed assertions, without those of known failures. */
  readonly failed: number;
  /** Names of the listed tests that failed. */
  readonly knownFailures: readonly string[];
}

interface FailedTest {
  readonly name: string;
  readonly failed: number;
}

const ENTRY = /^(\S+) "([^"]+)"/;
const RESULT = /^(not )?ok \d+ - (.*?)(?: # .*)?$/;
const PLAN = /^1\.\.(\d+)$/;
const NESTED_FAILURE = /^\s+not ok \d/;

/** Parses a list with one test per line; throws on a line that names no test. */
export function parseKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  return lines.map((line) => {
    const [, file, test] = ENTRY.exec(line) ?? [];
    if (file === undefined || test === undefined) {
      throw new Error(`entry must start with FILE "TEST": ${line}`);
    }
    return { file, test };
  });
}

/**
 * Judges the run of a test file. Listed tests may fail. Every other failure counts, and so does a file that exits before
 * all its tests have reported, or with an error code that no failed test explains.
 */
export function judgeTestRun(run: TestRun, knownRed: readonly KnownRed[]): TestVerdict {
  const { failures, isComplete } = readTap(run.stdout);
  const names = new Set(
    knownRed.filter(({ file }) => isSameFile(run.file, file)).map(({ test }) => test),
  );
  const known = failures.filter(({ name }) => names.has(name));
  const unexpected = failures.filter(({ name }) => !names.has(name));
  const hasFinished = isComplete && run.code !== null;
  const isExplained = run.code === 0 || failures.length > 0;
  const failed = unexpected.reduce((sum, item) => sum + item.failed, 0);
  return {
    failed: hasFinished && isExplained ? failed : Math.max(1, failed),
    knownFailures: known.map(({ name }) => name),
  };
}

function readTap(stdout: string): { failures: FailedTest[]; isComplete: boolean } {
  const failures: FailedTest[] = [];
  let planned: number | undefined;
  let results = 0;
  let nested = 0;
  stdout.split('\n').forEach((line) => {
    const [, isFailure, name = ''] = RESULT.exec(line) ?? [];
    const [, count] = PLAN.exec(line) ?? [];
    if (NESTED_FAILURE.test(line)) {
      nested += 1;
    } else if (RESULT.test(line)) {
      results += 1;
      if (isFailure !== undefined) {
        failures.push({ name, failed: Math.max(1, nested) });
      }
      nested = 0;
    } else if (count !== undefined) {
      planned = Number(count);
    }
  });
  return { failures, isComplete: planned !== undefined && planned > 0 && planned === results };
}

/** Returns whether a compiled file, `packages/a/dist/tests/b.test.js`, is the listed `packages/a/tests/b`. */
function isSameFile(compiled: string, listed: string): boolean {
  return compiled.replace('/dist/tests/', '/tests/').replace(/\.test\.js$/, '') === listed;
}
