import * as net from 'node:net';

import * as resetConnections from './reset-connection.js';

/** Time without progress after which a write counts as blocked by its receiver, in milliseconds. */
const BLOCKED_MS = 1_000;

/** Interval at which the progress of writes is checked, in milliseconds. */
const PROGRESS_INTERVAL_MS = 50;

/** Body that is never ended: its head and its bytes. */
export interface UnfinishedBody {
  /** Request line and headers, without the length of the body and without the empty line. */
  readonly head: string;
  readonly bytes: number;
  /** Size of a chunk, in bytes; a body with a length if absent. */
  readonly chunkBytes?: number;
}

/** Caller that sends without reading and keeps its connections open. */
export class MisbehavingCaller {
  private readonly sockets: net.Socket[] = [];
  private readonly host: string;
  private readonly port: number;

  public constructor(address: string) {
    const [host = '', port] = address.split(':');
    this.host = host;
    this.port = Number(port);
  }

  /**
   * Opens connections, sends the bytes of each, and keeps them open. Resolves once all bytes are sent, or are taken no
   * further.
   */
  public async open(connections: number, createBytes: (index: number) => Buffer): Promise<void> {
    await Promise.all(
      Array.from({ length: connections }, (_, index) => this.send(createBytes(index))),
    );
  }

  /** Sends bytes on every connection that is open, without waiting for them to be taken. */
  public write(createBytes: (index: number) => Buffer): void {
    this.sockets.forEach((socket, index) => {
      if (!socket.destroyed) {
        socket.write(createBytes(index));
      }
    });
  }

  /** Resets every connection; those whose end is being sent are closed. */
  public leave(): void {
    this.sockets.splice(0).forEach((socket) => {
      // The end comes after the bytes that are not sent yet.
      if (socket.writableLength > 0) {
        socket.resetAndDestroy();
      } else {
        resetConnections.resetConnection(socket);
      }
    });
  }

  private async send(bytes: Buffer): Promise<void> {
    const socket = net.connect({ host: this.host, port: this.port });
    this.sockets.push(socket);
    // Resets are answers to what it sends.
    socket.on('error', () => {});
    await new Promise<void>((resolve) => {
      socket.once('connect', resolve);
      socket.once('close', () => resolve());
    });
    socket.pause();
    if (bytes.length > 0 && !socket.destroyed) {
      socket.write(bytes);
      await waitSent(socket);
    }
  }
}

/** Creates the bytes of a request whose body stops one byte before its end. */
export function createUnfinishedBody({ bytes, chunkBytes, head }: UnfinishedBody): Buffer {
  if (chunkBytes === undefined) {
    const start = Buffer.from(`${head}content-length: ${bytes + 1}\r\n\r\n`);
    return Buffer.concat([start, Buffer.alloc(bytes, 'a')]);
  }
  const start = Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`);
  const chunk = `${chunkBytes.toString(16)}\r\n${'a'.repeat(chunkBytes)}\r\n`;
  return Buffer.concat([start, Buffer.from(chunk.repeat(Math.floor(bytes / chunkBytes)))]);
}

async function waitSent(socket: net.Socket): Promise<void> {
  let left = socket.writableLength;
  let blockedMs = 0;
  while (!socket.destroyed && left > 0 && blockedMs < BLOCKED_MS) {
    await new Promise((resolve) => {
      setTimeout(resolve, PROGRESS_INTERVAL_MS);
    });
    blockedMs = socket.writableLength < left ? 0 : blockedMs + PROGRESS_INTERVAL_MS;
    left = socket.writableLength;
  }
}
