import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

class ErrorLines extends schemas.SilentLog {
  public readonly lines: object[] = [];

  public override error(fields?: object): void {
    this.lines.push(fields ?? {});
  }
}

// Guards against a loop that stops for good, without a line in the log, because one of its rounds failed.
void tap.default.test('a round that fails is logged and the next one runs', async (t) => {
  const log = new ErrorLines();
  const task = { log, step: 'read', peer: 'e-1' };
  const rounds: readonly (() => number | Promise<number>)[] = [
    () => {
      throw new TypeError('Invalid URL');
    },
    () => Promise.reject(new TypeError('Invalid URL')),
    () => 3,
    () => Promise.resolve(4),
  ];
  const results: unknown[] = [];
  for (const round of rounds) {
    results.push(await schemas.runRound(round, task));
  }
  t.same(results, [undefined, undefined, 3, 4]);
  t.match(log.lines, [
    { event: 'round-failed', task: 'read', peer: 'e-1', type: 'TypeError' },
    { event: 'round-failed', task: 'read', peer: 'e-1', type: 'TypeError' },
  ]);
  t.equal(log.lines.length, 2);
});
