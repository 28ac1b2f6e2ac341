import type * as net from 'node:net';
import * as stream from 'node:stream';

import * as byteQueues from './byte-queue.js';
import * as tunnelMessages from './tunnel-messages.js';

/**
 * The near end of a tunnel. What the upstream sends arrives in chunks, the last of which marks a normal end: the peer
 * may end at any time, and its connection then closes as if the upstream had finished.
 */
export class TunnelSocket extends stream.Duplex {
  /** Number of bytes that the upstream has sent. */
  public bytesRead = 0;
  /** Number of bytes that were handed to the connection to the peer. */
  public bytesWritten = 0;
  private readonly pending = new byteQueues.ByteQueue();
  private hasEnded = false;
  private isLeaving = false;

  /** Takes over a connection to the peer; `rest` holds the bytes that arrived after the peer's answer. */
  public constructor(
    private readonly socket: net.Socket,
    rest: Buffer,
  ) {
    super({ allowHalfOpen: false });
    // The first bytes may break the tunnel before its user has it; the error would end the process. Reads report it again.
    this.on('error', () => {});
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('error', (err) => this.destroy(err));
    socket.on('close', () => this.handleClose());
    this.receive(rest);
  }

  /** Calls a listener when the peer announces that it is leaving, or at once if it has. */
  public onLeaving(listener: () => void): void {
    if (this.isLeaving) {
      listener();
    } else {
      this.once('leaving', listener);
    }
  }

  /** Calls a listener once the peer has closed the tunnel in order after the end, so that no reset of the upstream can follow. */
  public onClosed(listener: () => void): void {
    if (this.socket.closed) {
      listener();
    } else {
      this.once('closed', listener);
    }
  }

  /** Lets the process end while the connection is open. */
  public unref(): this {
    this.socket.unref();
    return this;
  }

  /** Keeps the process from ending while the connection is open. */
  public ref(): this {
    this.socket.ref();
    return this;
  }

  public override _read(): void {
    this.socket.resume();
  }

  public override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    callback: (err?: Error | null) => void,
  ): void {
    this.bytesWritten += chunk.length;
    this.socket.write(chunk, encoding, callback);
  }

  public override _final(callback: (err?: Error | null) => void): void {
    this.socket.end();
    callback();
  }

  public override _destroy(err: Error | null, callback: (err?: Error | null) => void): void {
    this.socket.destroy();
    callback(err);
  }

  private receive(bytes: Buffer): void {
    this.pending.push(bytes);
    while (!this.hasEnded) {
      const length = this.pending.peekLength();
      if (length === undefined) {
        return;
      }
      if (length === tunnelMessages.LEAVING_LENGTH && !this.isLeaving) {
        this.pending.take(tunnelMessages.CHUNK_HEAD_BYTES);
        this.noteLeaving();
        continue;
      }
      if (length > tunnelMessages.MAX_CHUNK_BYTES) {
        this.destroy(createBrokenError());
        return;
      }
      const end = tunnelMessages.CHUNK_HEAD_BYTES + length;
      if (this.pending.length < end) {
        return;
      }
      this.deliver(this.pending.take(end).subarray(tunnelMessages.CHUNK_HEAD_BYTES));
    }
  }

  private noteLeaving(): void {
    this.isLeaving = true;
    this.emit('leaving');
  }

  private deliver(chunk: Buffer): void {
    this.bytesRead += chunk.length;
    if (chunk.length === 0) {
      this.hasEnded = true;
      this.push(null);
    } else if (!this.push(chunk)) {
      this.socket.pause();
    }
  }

  private handleClose(): void {
    if (this.hasEnded) {
      this.emit('closed');
    } else {
      this.destroy(createBrokenError());
    }
  }
}

/** Creates the error of a tunnel without a normal end; the same as that of a connection that was reset. */
function createBrokenError(): Error {
  const message = 'the tunnel was closed before the end of the answer';
  return Object.assign(new Error(message), { code: 'ECONNRESET', syscall: 'read' });
}
