import type * as stream from 'node:stream';

import * as schemas from '@bramleyridge/schemas';

import * as connectToPeers from './connect-to-peer.js';
import * as frames from './frame.js';
import * as tunnelMessages from './tunnel-messages.js';
import * as tunnelSockets from './tunnel-socket.js';

/** Options of `openTunnel`. */
export interface TunnelOptions extends connectToPeers.PeerEndpoint {
  /** Time limit for the peer's answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Opens a connection to an upstream through a peer; rejects with a `TunnelError`. */
export function openTunnel(
  options: TunnelOptions,
  req: tunnelMessages.TunnelRequest,
): Promise<stream.Duplex> {
  const peer = `${options.host}:${options.port}`;
  return new Promise((resolve, reject) => {
    const socket = connectToPeers.connectToPeer(options, () => {
      const { address, connectMs, isCheck = false } = req;
      socket.write(new frames.FrameWriter().encode(['tunnel', address, connectMs, true, isCheck]));
    });
    const reader = new frames.FrameReader();
    let isSettled = false;
    const settle = () => {
      isSettled = true;
      clearTimeout(timer);
      socket.removeAllListeners('data');
      socket.off('error', onLost);
      socket.off('close', onLost);
    };
    const fail = (result: tunnelMessages.TunnelError['result'], cause?: unknown) => {
      settle();
      socket.on('error', () => {});
      socket.destroy();
      reject(new tunnelMessages.TunnelError(peer, result, cause));
    };
    const onLost = (cause?: unknown) => fail('lost', cause);
    // After a long task, timers run before what has arrived meanwhile is read, which may be the answer.
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (!isSettled) {
          onLost();
        }
      });
    }, options.timeoutMs);
    socket.setNoDelay(true);
    socket.once('error', onLost);
    socket.once('close', onLost);
    socket.on('data', (bytes: Buffer) => {
      try {
        const result = findResult(reader, bytes);
        if (result === 'connected') {
          settle();
          resolve(new tunnelSockets.TunnelSocket(socket, reader.takeRest()));
        } else if (result !== undefined) {
          fail(result);
        }
      } catch (err) {
        fail('lost', schemas.toError(err));
      }
    });
  });
}

function findResult(
  reader: frames.FrameReader,
  bytes: Buffer,
): tunnelMessages.TunnelResult | undefined {
  const { value: frame } = reader.push(bytes).next();
  if (frame === undefined) {
    return undefined;
  }
  const result = frame[0] === 'tunnelled' ? frame[1] : 'lost';
  if (!tunnelMessages.TUNNEL_RESULTS.includes(result as tunnelMessages.TunnelResult)) {
    throw new Error(`unexpected answer: ${String(result)}`);
  }
  return result as tunnelMessages.TunnelResult;
}
