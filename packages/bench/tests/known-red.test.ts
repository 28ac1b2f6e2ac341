import * as tap from 'tap';

import * as knownReds from '../src/known-red.js';

const LISTED = knownReds.parseKnownRed(
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

void tap.default.test('only the tests that are listed are passed over', async (t) => {
  const judge = (stdout: string, code: number | null = 1, file = FILE) =>
    knownReds.judgeTestRun({ file, code, stdout }, LISTED);
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
  t.equal(judge(other).failed, 1, 'another test of the same file counts');
  t.equal(
    judge(known, 1, 'packages/a/dist/tests/c.test.js').failed,
    1,
    'and the same name elsewhere',
  );
  return Promise.resolve();
});

void tap.default.test(
  'a file that does not come to its end counts, whatever is listed',
  async (t) => {
    const known = createTap([['known one', false]]);
    const judge = (stdout: string, code: number | null) =>
      knownReds.judgeTestRun({ file: FILE, code, stdout }, LISTED).failed;
    t.equal(judge(known.replace('1..1\n', '').replace('1..1\n', ''), 1), 1, 'no plan');
    t.equal(judge(known.replace(/1\.\.1\n$/, '1..2\n'), 1), 1, 'a test is missing');
    t.equal(judge(known, null), 1, 'killed');
    t.equal(judge(createTap([['other', true]]), 1), 1, 'a failure that no test tells');
    t.equal(judge('', 0), 1, 'nothing ran');
    return Promise.resolve();
  },
);

void tap.default.test('a line that names no test is an error', async (t) => {
  t.throws(() => knownReds.parseKnownRed('packages/a/tests/b fails sometimes'));
  t.same(knownReds.parseKnownRed('\n'), []);
  return Promise.resolve();
});
