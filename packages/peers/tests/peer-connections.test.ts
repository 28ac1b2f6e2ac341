import * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as peers from '@bramleyridge/peers';

/** Creates a connection of which only the address matters. */
function createSocket(port: number): net.Socket {
  return Object.defineProperties(new net.Socket(), {
    remoteAddress: { value: '127.0.0.1' },
    remotePort: { value: port },
  });
}

void tap.default.test('a port that is in use again counts anew', async (t) => {
  // Guards against bytes of closed connections that add up until every host is closed.
  const { closed, connections } = createConnections({ heldBytes: 100 });
  for (let i = 0; i < 5; i += 1) {
    const former = createSocket(1);
    connections.open(former);
    connections.setHeldBytes(connections.find(former)!, 60);
    connections.open(createSocket(1));
    former.emit('close');
  }
  t.same(closed, []);
});

function createConnections(limits: Partial<peers.PeerLimits>) {
  const closed: string[] = [];
  const connections = new peers.PeerConnections({
    limits: { ...peers.DEFAULT_PEER_LIMITS, ...limits },
    log: new schemas.SilentLog(),
    onClosed: (reason) => closed.push(reason),
  });
  let ports = 0;
  const open = () => {
    ports += 1;
    const socket = createSocket(ports);
    connections.open(socket);
    return { socket, held: connections.find(socket) };
  };
  return { closed, connections, open };
}

void tap.default.test('the oldest connection without a frame makes room', async (t) => {
  // Guards against idle connections, or handshakes that never end, that keep other hosts out.
  const { closed, open } = createConnections({ connections: 2 });
  const host = open();
  host.held!.hasFrame = true;
  const idle = open();
  const next = open();
  t.ok(idle.socket.destroyed);
  t.notOk(host.socket.destroyed, 'a host that has sent a frame stays');
  next.held!.hasFrame = true;
  t.equal(open().held, undefined, 'where all have, the new one is not taken');
  t.same(closed, ['evicted', 'full']);
});

void tap.default.test('the connection that holds most is closed', async (t) => {
  // Guards against unfinished frames that together fill the memory.
  const { closed, connections, open } = createConnections({ heldBytes: 100 });
  const small = open();
  const large = open();
  connections.setHeldBytes(large.held!, 70);
  connections.setHeldBytes(small.held!, 30);
  t.same(closed, [], 'the limit itself is allowed');
  connections.setHeldBytes(small.held!, 31);
  t.ok(large.socket.destroyed);
  connections.setHeldBytes(large.held!, 90);
  connections.setHeldBytes(small.held!, 100);
  t.same(closed, ['held-bytes'], 'what a closed connection still reports does not count');
});

void tap.default.test(
  'calls beyond the limits fail, and those of closed connections count',
  async (t) => {
    // Guards against calls by the thousand, also of a peer that connects again and again.
    const { connections, open } = createConnections({ calls: 3, callsPerConnection: 2 });
    const first = open();
    const ends = [1, 2].map(() => connections.beginCall(first.held!));
    t.equal(connections.beginCall(first.held!), 'busy');
    first.socket.emit('close');
    t.equal(connections.beginCall(first.held!), 'closed');
    const second = open();
    t.type(connections.beginCall(second.held!), 'function');
    t.equal(connections.beginCall(second.held!), 'busy', 'the handlers of the first still run');
    (ends[0] as () => void)();
    t.type(connections.beginCall(second.held!), 'function');
  },
);
