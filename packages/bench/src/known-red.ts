/** A test that may fail: its file without an ending, and its name. */
export interface KnownRed {
  readonly file: string;
  readonly test: string;
}

/** What is judged of the run of one test file. */
export interface TestRun {
  /** The compiled file. */
  readonly file: string;
  /** The exit code; nothing when the process was killed. */
  readonly code: number | null;
  readonly stdout: string;
}

/** What a run of a test file counts as. */
export interface TestVerdict {
  /** Failed assertions that count. */
  readonly failed: number;
  /** The names of the tests that failed and are listed. */
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

/** The tests that a list names, one entry a line; a line that names none is an error. */
export function parseKnownRed(text: string): KnownRed[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  return lines.map((line) => {
    const [, file, test] = ENTRY.exec(line) ?? [];
    if (file === undefined || test === undefined) {
      throw new Error(`no test is named as FILE "TEST" in: ${line}`);
    }
    return { file, test };
  });
}

/**
 * Judges the run of a test file: the tests that are listed may fail, every other one counts, and so does a file that ends
 * before all its tests have.
 */
export function judgeTestRun(run: TestRun, knownRed: readonly KnownRed[]): TestVerdict {
  const { failures, isComplete } = readTap(run.stdout);
  const names = new Set(
    knownRed.filter(({ file }) => isSameFile(run.file, file)).map(({ test }) => test),
  );
  const knownFailures = failures.filter(({ name }) => names.has(name));
  const counted = failures.filter(({ name }) => !names.has(name));
  const hasEnded = isComplete && run.code !== null;
  const isExplained = run.code === 0 || failures.length > 0;
  const failed = counted.reduce((sum, item) => sum + item.failed, 0);
  return {
    failed: hasEnded && isExplained ? failed : Math.max(1, failed),
    knownFailures: knownFailures.map(({ name }) => name),
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

/** `packages/a/dist/tests/b.test.js` is the compiled `packages/a/tests/b`. */
function isSameFile(compiled: string, listed: string): boolean {
  return compiled.replace('/dist/tests/', '/tests/').replace(/\.test\.js$/, '') === listed;
}
