import * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as paths from '../src/index.js';

class CountingSocket extends stream.PassThrough {
  public bytesRead = 0;
}

function createWatch(): {
  watch: paths.SilenceWatch;
  clock: schemas.VirtualClock;
  silent: string[];
} {
  const clock = new schemas.VirtualClock();
  const silent: string[] = [];
  const watch = new paths.SilenceWatch(
    clock,
    (address) => silent.push(address),
    () => {},
  );
  return { clock, silent, watch };
}

void tap.default.test('silence while a call waits is noticed, once a second', async (t) => {
  const { clock, silent, watch } = createWatch();
  const ends = [watch.begin('u1', 300), watch.begin('u2', 300)];
  await clock.advance(299);
  watch.check();
  t.same(silent, []);
  await clock.advance(1);
  watch.check();
  await clock.advance(100);
  watch.check();
  t.same(silent, ['u1', 'u2']);
  ends.forEach((end) => end());
  await clock.advance(2_000);
  watch.check();
  t.same(silent, ['u1', 'u2'], 'no call waits');
});

// Guards against checks of paths each time that one upstream is slow.
void tap.default.test('a slow upstream is not silence while others are heard', async (t) => {
  const { clock, silent, watch } = createWatch();
  const other = new CountingSocket();
  watch.watch(other);
  watch.begin('u1', 300);
  watch.begin('u2', 300);
  for (let i = 0; i < 20; i += 1) {
    await clock.advance(100);
    other.bytesRead += 10;
    watch.check();
  }
  t.same(silent, []);
  watch.stop();
});

// Guards against a check for each waiting call, whose connections take the descriptors of the host.
void tap.default.test('many calls that wait at one upstream are one silence', async (t) => {
  const { clock, silent, watch } = createWatch();
  for (let i = 0; i < 100; i += 1) {
    watch.begin('u1', 300);
    watch.begin('u2', 300);
  }
  await clock.advance(300);
  watch.check();
  t.same(silent, ['u1', 'u2']);
  watch.stop();
});

// Guards against checks several times a second while calls with short time limits come and go.
void tap.default.test('an upstream is checked once a second, also between calls', async (t) => {
  const { clock, silent, watch } = createWatch();
  for (let i = 0; i < 3; i += 1) {
    const ends = [watch.begin('u1', 300), watch.begin('u2', 300)];
    await clock.advance(300);
    watch.check();
    ends.forEach((end) => end());
    watch.check();
  }
  t.same(silent, ['u1', 'u2']);
  watch.begin('u1', 300);
  await clock.advance(400);
  watch.check();
  t.same(silent, ['u1', 'u2', 'u1'], 'and again after it');
  watch.stop();
});

// Guards against probes whenever one upstream takes long for its calls.
void tap.default.test('the silence of a single upstream is none of all', async (t) => {
  const { clock, silent, watch } = createWatch();
  watch.begin('u1', 300);
  watch.begin('u1', 300);
  await clock.advance(5_000);
  watch.check();
  t.same(silent, []);
  watch.stop();
});

// Guards against a cut host that takes itself to reach upstreams, by bytes that arrived before the cut.
void tap.default.test('bytes that arrived while no call waited are not heard later', async (t) => {
  const clock = new schemas.VirtualClock();
  let heard = 0;
  const watch = new paths.SilenceWatch(
    clock,
    () => {},
    () => {
      heard += 1;
    },
  );
  const sockets = [new CountingSocket(), new CountingSocket()];
  sockets.forEach((socket) => {
    watch.watch(socket);
    socket.bytesRead = 100;
  });
  watch.begin('u1', 300);
  sockets[0]!.destroy();
  await clock.advance(100);
  watch.check();
  t.equal(heard, 0);
  watch.stop();
});

// Guards against a cut that goes unnoticed since a host has few calls at a time.
void tap.default.test('calls that waited one after the other show silence, too', async (t) => {
  const { clock, silent, watch } = createWatch();
  const end = watch.begin('u1', 300);
  await clock.advance(400);
  watch.check();
  end();
  watch.begin('u2', 300);
  await clock.advance(400);
  watch.check();
  t.same(silent, ['u2']);
  watch.stop();
});

// Guards against calls that are sent over a lost path one after the other, and against a check before each of them.
void tap.default.test(
  'a silent upstream is named before the next call, once a second',
  async (t) => {
    const { clock, watch } = createWatch();
    const end = watch.begin('u1', 300);
    await clock.advance(200);
    watch.check();
    t.equal(watch.takeSilent(), undefined, 'within its patience');
    await clock.advance(200);
    watch.check();
    end();
    watch.check();
    t.same(watch.takeSilent(), { address: 'u1', since: 0 });
    t.equal(watch.takeSilent(), undefined, 'just named');
    // A call that is answered in the meantime ends no pause.
    watch.begin('u2', 300)();
    watch.check();
    t.equal(watch.takeSilent(), undefined);
    await clock.advance(1_000);
    t.same(watch.takeSilent(), { address: 'u1', since: 0 });
    watch.stop();
  },
);

// Guards against checks of paths after one upstream was slow while others are heard.
void tap.default.test('no upstream is silent once any was heard', async (t) => {
  const { clock, watch } = createWatch();
  const other = new CountingSocket();
  watch.watch(other);
  for (const isNextBegun of [false, true]) {
    const end = watch.begin('u1', 300);
    await clock.advance(400);
    watch.check();
    end();
    watch.check();
    other.bytesRead += 10;
    if (isNextBegun) {
      watch.begin('u2', 300);
    }
    t.equal(watch.takeSilent(), undefined);
    await clock.advance(2_000);
  }
  watch.stop();
});

// Guards against answers that go on over the lost path of a host that no call shows.
void tap.default.test('an answer that has stopped counts while nothing is heard', async (t) => {
  const { clock, watch } = createWatch();
  const other = new CountingSocket();
  watch.watch(other);
  const end = watch.beginAnswer();
  await clock.advance(500);
  other.bytesRead += 10;
  watch.check();
  await clock.advance(200);
  watch.recordStopped('u1');
  t.equal(watch.takeSilent(), undefined, 'another one was heard');
  await clock.advance(200);
  watch.check();
  watch.recordStopped('u1');
  t.same(watch.takeSilent(), { address: 'u1', since: 600 });
  end();
  end();
  watch.stop();
});

/** A clock of which no two readings are equal, as on a host. */
class RunningClock extends schemas.VirtualClock {
  private readings = 0;

  public override now(): number {
    this.readings += 1;
    return super.now() + this.readings / 1_000;
  }
}

// Guards against a cut host that sends more calls over its own path, since bytes from before the silence count as later.
void tap.default.test('bytes heard last before a silence do not end it', async (t) => {
  const clock = new RunningClock();
  const state = new paths.PathState(clock, new schemas.SilentLog());
  const watch = new paths.SilenceWatch(
    clock,
    (address, since) => {
      // The other silent upstream is not reached through other hosts either.
      if (address === 'u1') {
        state.recordSilence(address, since);
      }
    },
    (at) => state.recordReached(at),
  );
  const socket = new CountingSocket();
  watch.watch(socket);
  watch.begin('u1', 300);
  watch.begin('u2', 300);
  await clock.advance(100);
  socket.bytesRead = 10;
  watch.check();
  await clock.advance(400);
  watch.check();
  t.same(state.listBlocked(), ['u1']);
  t.ok(state.isCutOff());
  t.equal(state.choose('u3'), 'relayed');
  watch.stop();
});
