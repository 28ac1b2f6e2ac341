import * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as peers from '@bramleyridge/peers';

import * as paths from '../src/index.js';

/** Opens connections to some addresses and has those to all others refused. */
class PartialDialer implements paths.UpstreamDialer {
  public constructor(private readonly reached: readonly string[]) {}

  public async dial(address: string): Promise<stream.Duplex> {
    if (!this.reached.includes(address)) {
      throw Object.assign(new Error('refused'), { code: 'ECONNREFUSED', syscall: 'connect' });
    }
    return Promise.resolve(new stream.PassThrough());
  }
}

function createLinks(
  own: readonly string[],
  others: readonly string[] | undefined,
): paths.UpstreamLinks {
  return new paths.UpstreamLinks({
    availabilityZone: 'a',
    relays: {
      listHosts: () => (others === undefined ? [] : [{ address: 'h1:1', availabilityZone: 'a' }]),
      listReserves: () => [],
    },
    dialer: new PartialDialer(own),
    openThrough: async ({ address }, req) => {
      if (others?.includes(req.address) !== true) {
        throw new peers.TunnelError(address, 'refused');
      }
      return Promise.resolve(new stream.PassThrough());
    },
    connectMs: 100,
    findProbe: () => undefined,
    listAddresses: () => ['u1:1', 'u2:1', 'u3:1'],
    clock: new schemas.SystemClock(),
    log: new schemas.SilentLog(),
    random: () => 0,
  });
}

void tap.default.test('a process has ended where its address refuses all hosts', async (t) => {
  t.notOk(await createLinks(['u2:1'], ['u2:1']).isListening('u1:1'));
  t.notOk(await createLinks(['u2:1'], undefined).isListening('u1:1'), 'without other hosts');
});

// Guards against calls that are quarantined since a cut host takes upstreams for ended that refuse only its connections.
void tap.default.test('a process has not ended that only this host does not reach', async (t) => {
  const links = createLinks(['u2:1'], ['u1:1', 'u2:1']);
  t.ok(await links.isListening('u1:1'), 'others reach it');
  t.equal(links.state.choose('u1:1'), 'relayed');
  const cutOff = createLinks([], ['u2:1', 'u3:1']);
  await Promise.all(['u2:1', 'u3:1'].map((address) => cutOff.isListening(address)));
  t.ok(cutOff.state.isCutOff());
});

// Guards against a call that fails although another host reaches its upstream, and against a second connection for it.
void tap.default.test('a connection that is refused is made through another host', async (t) => {
  const links = createLinks([], ['u1:1']);
  t.equal(links.getAgent('u1:1'), links.getAgent('u2:1'), 'the own path at first');
  t.ok(await links.isListening('u1:1'));
  t.not(links.getAgent('u1:1'), links.getAgent('u2:1'));
  await links.close();
});
