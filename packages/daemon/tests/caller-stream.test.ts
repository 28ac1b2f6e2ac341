import * as http from 'node:http';
import * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

import * as callerStreams from '../src/caller-stream.js';

const CHUNK_BYTES = 1_048_576;
const MAX_CHUNKS = 64;

const { limits } = schemas.daemonConfig.parse({
  daemonId: 'd',
  availabilityZone: 'a',
  callerPort: 0,
  peerPort: 0,
  keysFile: 'k',
  operators: [{ operator: 'o', sha256: '0'.repeat(64) }],
  limits: { callerGraceMs: 200 },
});

void tap.default.test(
  'a caller that does not read uses bounded memory and is disconnected',
  async (t) => {
    // The caller opens a stream and never reads. Writes wait once the socket buffers are full, so
    // that nothing more is read from the engine; after the grace period the caller is disconnected.
    const done = new Promise<{ written: number; isConnected: boolean }>((resolve) => {
      const server = http.createServer((_req, res) => {
        const stream = new callerStreams.CallerStream(res, { generation: 'g', model: 'm', limits });
        const fill = async () => {
          let written = 0;
          while (stream.isConnected() && written < MAX_CHUNKS) {
            await stream.write(Buffer.alloc(CHUNK_BYTES));
            written += 1;
          }
          resolve({ written, isConnected: stream.isConnected() });
        };
        void fill();
      });
      t.teardown(() => server.closeAllConnections());
      t.teardown(() => server.close());
      server.listen(0, '127.0.0.1', () => {
        const { port } = server.address() as net.AddressInfo;
        const socket = net.connect(port, '127.0.0.1', () => {
          socket.pause();
          socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
        });
        socket.on('error', () => {});
        t.teardown(() => socket.destroy());
      });
    });
    const { isConnected, written } = await done;
    t.notOk(isConnected, 'the caller was disconnected');
    t.ok(written < MAX_CHUNKS, `${written} MB were written to the sockets, then writes waited`);
  },
);
