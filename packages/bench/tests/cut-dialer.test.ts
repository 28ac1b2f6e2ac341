import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';

const DIALS = 100;

/** Duration of a round of the event loop, in milliseconds. */
const ROUND_MS = 20;

/** Rounds that the dials may take; one without the relay. */
const MAX_ROUNDS = 20;

// Guards against tests beside load whose daemons wait for the dialer of the test for minutes.
void tap.default.test('dials through the relay do not wait for each other', async (t) => {
  const upstream = net.createServer((socket) => socket.on('error', () => {}));
  const dialer = new fakes.CutDialer();
  await dialer.start();
  await new Promise<void>((resolve) => {
    upstream.listen(0, '127.0.0.1', resolve);
  });
  const { port } = upstream.address() as net.AddressInfo;
  let rounds = 0;
  let isBusy = true;
  const runRound = () => {
    const endsAt = performance.now() + ROUND_MS;
    while (performance.now() < endsAt);
    rounds += 1;
    if (isBusy) {
      setImmediate(runRound);
    }
  };
  runRound();
  const sockets = await Promise.all(
    Array.from({ length: DIALS }, () => dialer.dial(`127.0.0.1:${port}`, 1_000)),
  );
  isBusy = false;
  t.ok(rounds <= MAX_ROUNDS, `${DIALS} dials took ${rounds} rounds`);
  sockets.forEach((socket) => socket.destroy());
  dialer.stop();
  upstream.close();
});
