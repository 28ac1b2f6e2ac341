import * as tap from 'tap';

import * as knownRedTests from '../src/known-red.js';

const LISTED = knownRedTests.parseKnownRed(
  'packages/a/tests/b "known one" | npm test, seed 7 | issue 1\n',
);
const FILE = 'packages/a/dist/tests/b.test.js';

function createTap(results: readonly (readonly [name: string, hasPassed: boolean])[]): string {
  const blocks = results.map(([name, hasPassed], i) => {
    const verdict = hasPassed ? 'ok' : 'not ok';
    const nested = `# Subtest: ${name}\n    ${verdict} 1 - it holds\n    1..1`;
    return `${nested}\n${verdict} ${i + 1} - ${name} # time=3.1ms`;
  });
  return `TAP version 14\n${blocks.join('\n')}\n1..${results.length}\n`;
}

void tap.default.test('ignores failures of listed tests only', async (t) => {
  const judge = (stdout: string, code: number | null = 1, file = FILE) =>
    knownRedTests.judgeTestRun({ file, code, stdout }, LISTED);
  const known = createTap([
    ['known one', false],
    ['other', true],
  ]);
  t.same(judge(known), { failed: 0, knownFailures: ['known one'] });
  t.same(judge(createTap([['known one', true]]), 0), { failed: 0, knownFailures: [] });
  const other = createTap([
    ['known one', false],
    ['other', false],
  ]);
  t.equal(judge(other).failed, 1, 'counts another failed test of the same file');
  t.equal(
    judge(known, 1, 'packages/a/dist/tests/c.test.js').failed,
    1,
    'counts a test of the same name in another file',
  );
  return Promise.resolve();
});

void tap.default.test(
  'counts a file that does not run to completion, whatever is listed',
  async (t) => {
    const known = createTap([['known one', false]]);
    const judge = (stdout: string, code: number | null) =>
      knownRedTests.judgeTestRun({ file: FILE, code, stdout }, LISTED).failed;
    t.equal(judge(known.replace('1..1\n', '').replace('1..1\n', ''), 1), 1, 'no plan');
    t.equal(judge(known.replace(/1\.\.1\n$/, '1..2\n'), 1), 1, 'a test is missing');
    t.equal(judge(known, null), 1, 'killed');
    t.equal(judge(createTap([['other', true]]), 1), 1, 'an error code without a failed test');
    t.equal(judge('', 0), 1, 'nothing ran');
    return Promise.resolve();
  },
);

void tap.default.test('rejects a line that names no test', async (t) => {
  t.throws(() => knownRedTests.parseKnownRed('packages/a/tests/b fails sometimes'));
  t.same(knownRedTests.parseKnownRed('\n'), []);
  return Promise.resolve();
});
