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
