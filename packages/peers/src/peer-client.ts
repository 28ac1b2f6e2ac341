import type * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';

import * as connectToPeers from './connect-to-peer.js';
import * as frames from './frame.js';
import * as linkCounts from './link-counts.js';

/** Interval between pings on a connection, in milliseconds. */
const PING_INTERVAL_MS = 4_000;

/** Time without a call after which a connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;

/** Time without a byte in either direction after which a connection is closed, in milliseconds. */
const SILENCE_TIMEOUT_MS = 9_000;

/** Options of {@link PeerClient}. */
export interface PeerClientOptions extends connectToPeers.PeerEndpoint {
  readonly peer: string;
  readonly connectMs: number;
  /** Whether traffic from and to the peer is dropped; failure tests simulate a network partition with it. */
  readonly isCut?: () => boolean;
}

interface PendingCall {
  readonly startedAt: number;
  readonly path: string;
  readonly resolve: (output: unknown) => void;
  readonly reject: (err: Error) => void;
}

/** Calls one peer over one connection, which is opened on demand and replaced when nothing arrives on it. */
export class PeerClient {
  public readonly counts = new linkCounts.LinkCounts();
  private socket: net.Socket | undefined;
  private writer = new frames.FrameWriter();
  private lastCallAt = 0;
  private lastReceivedAt = 0;
  private connecting: Promise<net.Socket> | undefined;
  private pendingCalls = new Map<number, PendingCall>();
  private nextId = 1;
  private isClosed = false;

  public constructor(private readonly options: PeerClientOptions) {}

  /** Calls a procedure. After the deadline, rejects and sends a `cancel` frame, upon which the peer aborts the call. */
  public async call(path: string, input: unknown, deadlineMs: number): Promise<unknown> {
    const startedAt = performance.now();
    const timeout = new Promise<never>((_, reject) => {
      const timer = setTimeout(() => {
        this.closeIfSilentSince(startedAt);
        reject(this.createError('deadline', path, [deadlineMs]));
      }, deadlineMs);
      timer.unref();
    });
    if (this.options.isCut?.()) {
      return timeout;
    }
    const id = this.nextId;
    this.nextId += 1;
    this.lastCallAt = performance.now();
    try {
      return await Promise.race([this.exchange(id, path, input, startedAt), timeout]);
    } finally {
      if (this.pendingCalls.delete(id)) {
        this.send(['cancel', id]);
      }
    }
  }

  /** Closes the connection; later calls are rejected. */
  public close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  private async exchange(
    id: number,
    path: string,
    input: unknown,
    startedAt: number,
  ): Promise<unknown> {
    await this.getSocket();
    return new Promise((resolve, reject) => {
      this.pendingCalls.set(id, { startedAt, path, resolve, reject });
      this.send(['call', id, path, input]);
    });
  }

  private send(frame: frames.Frame): void {
    if (this.socket === undefined || this.socket.destroyed || this.options.isCut?.()) {
      return;
    }
    const bytes = this.writer.encode(frame);
    this.counts.recordSent(bytes.length);
    this.socket.write(bytes);
  }

  private async getSocket(): Promise<net.Socket> {
    if (this.isClosed) {
      throw this.createError('linkClosed', 'connect');
    }
    if (this.socket !== undefined && !this.socket.destroyed) {
      return this.socket;
    }
    this.connecting ??= this.connect().finally(() => {
      this.connecting = undefined;
    });
    return this.connecting;
  }

  private connect(): Promise<net.Socket> {
    return new Promise((resolve, reject) => {
      const socket = connectToPeers.connectToPeer(this.options, () => {
        this.socket = socket;
        this.writer = new frames.FrameWriter();
        this.attachHandlers(socket);
        resolve(socket);
      });
      socket.setNoDelay(true);
      socket.setTimeout(this.options.connectMs, () => {
        socket.destroy(this.createError('deadline', 'connect', [this.options.connectMs]));
      });
      socket.once('error', (err) => reject(this.createError('linkClosed', 'connect', [], err)));
    });
  }

  private attachHandlers(socket: net.Socket): void {
    const reader = new frames.FrameReader();
    // A middlebox that lost its state for the connection drops packets without a reset, which shows only in the absence
    // of traffic. With pings, that absence means a broken connection; the next call opens a new one.
    socket.setTimeout(SILENCE_TIMEOUT_MS, () => socket.destroy());
    const pingTimer = setInterval(() => this.pingOrClose(socket), PING_INTERVAL_MS);
    pingTimer.unref();
    socket.on('data', (bytes: Buffer) => {
      this.counts.recordReceived(bytes.length);
      this.lastReceivedAt = performance.now();
      try {
        for (const frame of reader.push(bytes)) {
          this.handleFrame(frame);
        }
      } catch (err) {
        socket.destroy(schemas.toError(err));
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearInterval(pingTimer);
      const interrupted = this.pendingCalls;
      this.pendingCalls = new Map();
      interrupted.forEach((call) => call.reject(this.createError('linkClosed', call.path)));
    });
  }

  /**
   * Closes the connection if a call that started at `startedAt` is pending and nothing was received since. A middlebox
   * may have lost its state for the connection, which then never recovers. The next call opens a new connection; until
   * pings detect the failure, more calls would be lost.
   */
  private closeIfSilentSince(startedAt: number): void {
    const isPending = [...this.pendingCalls.values()].some((call) => call.startedAt === startedAt);
    if (isPending && this.lastReceivedAt < startedAt) {
      this.socket?.destroy();
    }
  }

  /** Pings a connection in use and closes an idle one, since pings on many idle connections cost bandwidth. */
  private pingOrClose(socket: net.Socket): void {
    if (this.pendingCalls.size === 0 && performance.now() - this.lastCallAt > IDLE_TIMEOUT_MS) {
      socket.destroy();
      return;
    }
    this.send(['ping']);
  }

  private handleFrame(frame: frames.Frame): void {
    if ((frame[0] !== 'result' && frame[0] !== 'failure') || this.options.isCut?.()) {
      return;
    }
    const call = this.pendingCalls.get(frame[1]);
    this.pendingCalls.delete(frame[1]);
    if (call === undefined) {
      return;
    }
    if (frame[0] === 'result') {
      call.resolve(frame[2]);
    } else {
      call.reject(new RemoteError(this.options.peer, call.path, frame[2], frame[3]));
    }
  }

  private createError(
    id: schemas.MessageId,
    step: string,
    args: readonly (string | number)[] = [],
    cause?: unknown,
  ): schemas.StepError {
    return new schemas.StepError({ id, step, peer: this.options.peer, args, cause });
  }
}

/** An error returned by the peer. */
export class RemoteError extends Error {
  public override readonly name = 'RemoteError';

  public constructor(
    public readonly peer: string,
    public readonly step: string,
    message: string,
    public readonly code: string,
  ) {
    super(message);
  }
}
