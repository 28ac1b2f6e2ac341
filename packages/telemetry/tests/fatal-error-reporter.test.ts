import * as events from 'node:events';

import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as tap from 'tap';

function createReporter(write: (line: object) => void) {
  const source = new events.EventEmitter();
  const exitCodes: number[] = [];
  const reporter = new telemetry.FatalErrorReporter({
    log: { error: write },
    source,
    end: (code) => exitCodes.push(code),
  });
  reporter.start();
  return { reporter, source, exitCodes };
}

// Guards against a process that ends without a line that tells which step failed, and with which peer.
void tap.default.test('an unhandled error is logged once with its step and its peer', async (t) => {
  const lines: object[] = [];
  const { exitCodes, reporter, source } = createReporter((line) => lines.push(line));
  reporter.setFields({ host: 'entry-1' });
  const cause = new schemas.StepError({ id: 'deadline', step: 'probe', peer: 'e-1', args: [5] });
  source.emit('uncaughtException', new Error('failed', { cause }), 'unhandledRejection');
  source.emit('uncaughtException', new Error('failed again'), 'uncaughtException');
  source.emit('uncaughtException', cause, 'uncaughtException');
  t.equal(lines.length, 1);
  t.match(lines[0], {
    host: 'entry-1',
    event: 'process-failed',
    origin: 'unhandledRejection',
    err: 'failed',
    type: 'Error',
    stack: /fatal-error-reporter/,
  });
  t.same(exitCodes, [1]);
});

void tap.default.test('whatever is thrown is described', async (t) => {
  const error = new schemas.StepError({
    id: 'deadline',
    step: 'probe',
    peer: 'e-1',
    args: [5],
    cause: new TypeError('Invalid URL'),
  });
  const cases = [
    { thrown: error, expected: { step: 'probe', peer: 'e-1', stack: /Invalid URL/ } },
    { thrown: 'text', expected: { err: 'text', type: 'Error' } },
    { thrown: undefined, expected: { err: 'undefined' } },
    { thrown: { code: 1 }, expected: { type: 'Error' } },
  ];
  cases.forEach(({ expected, thrown }) => {
    t.match(schemas.describeError(thrown), expected);
  });
});

// Guards against a process that goes on because the line about its end could not be written.
void tap.default.test('the process ends though the line cannot be written', async (t) => {
  const { exitCodes, source } = createReporter(() => {
    throw new Error('EPIPE');
  });
  t.throws(() => source.emit('uncaughtException', new Error('failed'), 'uncaughtException'));
  t.same(exitCodes, [1]);
});
