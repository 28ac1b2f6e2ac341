import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as paths from '../src/index.js';

function createState(): { state: paths.PathState; clock: schemas.VirtualClock } {
  const clock = new schemas.VirtualClock();
  return { clock, state: new paths.PathState(clock, new schemas.SilentLog()) };
}

void tap.default.test('one blocked path is no cut of the host', async (t) => {
  const { state } = createState();
  state.recordBlocked('u1:80', 'connect');
  t.equal(state.choose('u1:80'), 'relayed');
  t.equal(state.choose('u2:80'), 'direct');
  t.notOk(state.isCutOff());
});

void tap.default.test('two blocked paths and silence since are a cut of the host', async (t) => {
  const { clock, state } = createState();
  await clock.advance(100);
  state.recordReached();
  await clock.advance(10);
  state.recordBlocked('u1:80', 'connect');
  state.recordBlocked('u2:80', 'connect');
  t.equal(state.choose('u3:80'), 'relayed', 'a path that was not tried yet');
  await clock.advance(10);
  state.recordReached();
  t.equal(state.choose('u3:80'), 'direct', 'another upstream is still heard');
  t.equal(state.choose('u1:80'), 'relayed');
});

void tap.default.test('a path is used again once a new connection has reached it', async (t) => {
  const { clock, state } = createState();
  state.recordSilence('u1:80', -1);
  t.equal(state.choose('u2:80'), 'relayed');
  await clock.advance(10);
  state.recordOpen('u1:80');
  t.equal(state.choose('u1:80'), 'direct');
  t.equal(state.choose('u2:80'), 'direct');
  t.same(state.listBlocked(), []);
});
