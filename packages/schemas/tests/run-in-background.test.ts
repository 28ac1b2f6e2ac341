import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

class ErrorLines extends schemas.SilentLog {
  public readonly lines: object[] = [];

  public override error(fields?: object): void {
    this.lines.push(fields ?? {});
  }
}

// Guards against a process that ends, with every call on it, because one task in the background failed.
void tap.default.test('a task that fails is logged and ends nothing else', async (t) => {
  const log = new ErrorLines();
  const cause = new schemas.StepError({ id: 'deadline', step: 'probe', peer: 'e-2', args: [5] });
  const tasks: readonly (() => Promise<unknown>)[] = [
    () => {
      throw new TypeError('Invalid URL');
    },
    () => Promise.reject(new TypeError('Invalid URL')),
    () => Promise.reject(cause),
    () => Promise.resolve(),
  ];
  tasks.forEach((run) => schemas.runInBackground(run, { log, step: 'check', peer: 'e-1' }));
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  t.match(log.lines, [
    { event: 'task-failed', task: 'check', peer: 'e-1', type: 'TypeError', err: 'Invalid URL' },
    { event: 'task-failed', task: 'check', peer: 'e-1', type: 'TypeError' },
    { event: 'task-failed', task: 'check', step: 'probe', peer: 'e-2' },
  ]);
  t.equal(log.lines.length, 3);
});
