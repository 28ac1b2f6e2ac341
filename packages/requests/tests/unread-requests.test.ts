import * as stream from 'node:stream';

import * as paths from '@bramleyridge/paths';
import * as requests from '@bramleyridge/requests';
import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\n';
const TARGET = requests.createTarget({ upstreamId: 'u1', url: 'http://127.0.0.1:1' });

/** What a connection does once the request is written to it; `settle` ends that write. */
type Play = (connection: PlayedConnection, settle: (err?: Error) => void) => void;

/** A connection to an upstream whose writes end as the test says. */
class PlayedConnection extends stream.Duplex {
  public bytesRead = 0;
  private hasPlayed = false;

  public constructor(private readonly play: Play) {
    super({ allowHalfOpen: false });
    this.on('error', () => {});
  }

  public override _read(): void {}

  public override _write(
    _chunk: Buffer,
    _encoding: BufferEncoding,
    callback: (err?: Error | null) => void,
  ): void {
    if (this.hasPlayed) {
      callback();
      return;
    }
    this.hasPlayed = true;
    // An answer takes a while; the client isn't ready for one during its write.
    setImmediate(() => this.play(this, callback));
  }

  public override _writev(
    _chunks: { chunk: Buffer; encoding: BufferEncoding }[],
    callback: (err?: Error | null) => void,
  ): void {
    this._write(Buffer.alloc(0), 'utf8', callback);
  }

  public ref(): void {}

  public unref(): void {}
}

function createWriteError(code: string): Error {
  return Object.assign(new Error(`write ${code}`), { code, syscall: 'write' });
}

const CASES: Readonly<Record<string, { readonly play: Play; readonly body?: string }>> = {
  'no length, ended while the request is unsent': {
    play: (connection) => {
      connection.push(`${HEAD}\r\npart`);
      connection.push(null);
    },
  },
  'no length, ended later while the request is unsent': {
    play: (connection) => {
      connection.push(`${HEAD}connection: close\r\n\r\npart`);
      setTimeout(() => connection.push(null), 20);
    },
  },
  'identity, ended while the request is unsent': {
    play: (connection) => {
      connection.push(`${HEAD}transfer-encoding: identity\r\n\r\npart`);
      connection.push(null);
    },
  },
  'no length, the write is reset before the end': {
    play: (connection, settle) => {
      connection.push(`${HEAD}\r\npart`);
      setImmediate(() => settle(createWriteError('ECONNRESET')));
    },
  },
  'no length, the write fails before the end': {
    play: (connection, settle) => {
      connection.push(`${HEAD}\r\npart`);
      setImmediate(() => settle(createWriteError('EPIPE')));
    },
  },
  'no length, the write fails beside the end': {
    play: (connection, settle) => {
      connection.push(`${HEAD}\r\npart`);
      connection.push(null);
      // By then the client has read the head.
      process.nextTick(() => settle(createWriteError('ECONNRESET')));
    },
  },
  'no length, ended after the request was sent': {
    play: (connection, settle) => {
      settle();
      connection.push(`${HEAD}\r\nbody`);
      connection.push(null);
    },
    body: 'body',
  },
  'a length, ended while the request is unsent': {
    play: (connection) => {
      connection.push(`${HEAD}content-length: 4\r\nconnection: close\r\n\r\nbody`);
      connection.push(null);
    },
    body: 'body',
  },
  'chunks, ended while the request is unsent': {
    play: (connection) => {
      connection.push(`${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`);
      connection.push(null);
    },
    body: 'body',
  },
};

async function open(t: tap.Test, play: Play, isRepeatable: boolean, size: number) {
  const clock = new schemas.SystemClock();
  const client = new requests.UpstreamClient({
    gate: requests.createLocalGate(clock, new schemas.SilentLog()),
    readNotice: () => requests.EMPTY_NOTICE,
    links: paths.createOwnLinks({
      connectMs: 300,
      connections: 1,
      dialer: { dial: async () => Promise.resolve(new PlayedConnection(play)) },
    }),
  });
  t.teardown(() => client.close());
  const call: requests.OutgoingCall = {
    method: 'PUT',
    path: '/x',
    headers: {},
    body: Buffer.alloc(size),
    isRepeatable,
    permit: new requests.SendPermit('u1', false, false, Infinity),
    signal: AbortSignal.timeout(3_000),
  };
  return client.open(TARGET, call, () => 'answer');
}

// Guards against a part of an answer that counts as whole because its connection ended before the request was sent.
void tap.default.test('an answer that ends before its request was sent is not whole', async (t) => {
  for (const [name, { play, body }] of Object.entries(CASES)) {
    for (const isRepeatable of [false, true]) {
      for (const size of [100, 100_000]) {
        const label = `${name}, ${size} bytes, ${isRepeatable ? 'repeatable' : 'once'}`;
        const read = requests.readAnswer(await open(t, play, isRepeatable, size), 10_000, 'u1');
        if (body === undefined) {
          await t.rejects(read, { kind: 'lost' } as never, label);
        } else {
          t.equal((await read).bytes.toString(), body, label);
        }
      }
    }
  }
});
