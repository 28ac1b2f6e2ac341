import type * as net from 'node:net';

import * as schemas from '@bramleyridge/schemas';

import * as callParts from './call-parts.js';
import * as connectToPeers from './connect-to-peer.js';
import * as frames from './frame.js';
import * as linkCounts from './link-counts.js';

/** Interval between pings on a connection, in milliseconds. */
const PING_INTERVAL_MS = 4_000;

/** Time without a call after which a connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;

/** Time without a byte in either direction after which a connection is closed, in milliseconds. */
const SILENCE_TIMEOUT_MS = 9_000;

/**
 * Time without progress after which a call fails past its deadline, in milliseconds. Progress is that the peer takes
 * parts of the call or that an answer arrives. A large message over a slow link takes longer than the deadline of a
 * small one, and each repetition would fail like the first.
 */
const PROGRESS_TIMEOUT_MS = 500;

/** Options of {@link PeerClient}. */
export interface PeerClientOptions extends connectToPeers.PeerEndpoint {
  readonly peer: string;
  readonly connectMs: number;
  /** Whether traffic from and to the peer is dropped; failure tests simulate a network partition with it. */
  readonly isCut?: () => boolean;
}

interface Call {
  readonly id: number;
  readonly path: string;
  readonly input: unknown;
  /** Size of the input, in bytes. */
  readonly bytes: number;
  readonly startedAt: number;
}

interface PendingCall {
  /** When the peer last took a part of the call; `undefined` if it isn't sent in parts. */
  progressAt?: number;
  readonly sender?: callParts.CallPartSender;
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
  private reader = new frames.FrameReader();
  private partsAnswer = new PartsAnswer();
  private nextId = 1;
  private isClosed = false;

  public constructor(private readonly options: PeerClientOptions) {}

  /**
   * Calls a procedure. After the deadline, unless the call makes progress, rejects and sends a `cancel` frame, upon which
   * the peer aborts the call. Rejects at once a call that is too large for any peer.
   */
  public async call(path: string, input: unknown, deadlineMs: number): Promise<unknown> {
    const bytes = schemas.estimateEncodedBytes(input);
    this.checkSize(path, bytes, callParts.MAX_CALL_BYTES);
    const call: Call = { id: this.nextId, path, input, bytes, startedAt: performance.now() };
    this.nextId += 1;
    const over = new AbortController();
    const timeout = this.rejectWithoutProgress(call, deadlineMs, over.signal);
    if (this.options.isCut?.()) {
      return timeout;
    }
    this.lastCallAt = performance.now();
    try {
      return await Promise.race([this.exchange(call, over.signal), timeout]);
    } finally {
      over.abort(new Error('over'));
      if (this.pendingCalls.delete(call.id)) {
        this.send(['cancel', call.id]);
      }
    }
  }

  /** Closes the connection; later calls are rejected. */
  public close(): void {
    this.isClosed = true;
    this.socket?.destroy();
  }

  /** Rejects after the deadline, or later once the call makes no more progress. */
  private rejectWithoutProgress(
    { id, path, startedAt }: Call,
    deadlineMs: number,
    over: AbortSignal,
  ): Promise<never> {
    return new Promise<never>((_, reject) => {
      let timer: NodeJS.Timeout;
      // After a long task, timers run before what has arrived meanwhile is read, which may be the answer.
      const checkIn = (ms: number) => {
        timer = setTimeout(() => setImmediate(check), ms).unref();
      };
      const check = () => {
        if (over.aborted) {
          return;
        }
        const leftMs = this.getProgressAt(id) + PROGRESS_TIMEOUT_MS - performance.now();
        if (leftMs > 0) {
          checkIn(leftMs);
          return;
        }
        this.closeIfSilentSince(startedAt);
        reject(this.createError('deadline', path, [deadlineMs]));
      };
      checkIn(deadlineMs);
      over.addEventListener('abort', () => clearTimeout(timer), { once: true });
    });
  }

  private async exchange(call: Call, over: AbortSignal): Promise<unknown> {
    const { bytes, id, input, path, startedAt } = call;
    const socket = await this.getSocket();
    const isLarge = bytes > callParts.PART_BYTES;
    const isInParts = isLarge && (await this.peerTakesParts());
    over.throwIfAborted();
    if (socket.destroyed) {
      throw this.createError('linkClosed', path);
    }
    if (isInParts) {
      return this.exchangeInParts(call);
    }
    this.checkSize(path, bytes, frames.MAX_FRAME_BYTES);
    return new Promise((resolve, reject) => {
      this.pendingCalls.set(id, { startedAt, path, resolve, reject });
      this.send(['call', id, path, input]);
    });
  }

  private exchangeInParts({ id, input, path, startedAt }: Call): Promise<unknown> {
    const sender = new callParts.CallPartSender(path, input, ({ bytes, isLast, offset }) =>
      this.send(['part', id, offset, bytes, isLast]),
    );
    return new Promise((resolve, reject) => {
      const progressAt = performance.now();
      this.pendingCalls.set(id, { startedAt, progressAt, path, sender, resolve, reject });
      sender.advance(0);
    });
  }

  /** Asks once for each connection; a peer of the previous version answers the ping alone. */
  private peerTakesParts(): Promise<boolean> {
    if (!this.partsAnswer.isKnown) {
      this.send(['ping']);
    }
    return this.partsAnswer.promise;
  }

  private checkSize(path: string, bytes: number, maxBytes: number): void {
    if (bytes > maxBytes) {
      throw this.createError('frameTooLarge', path, [bytes, maxBytes]);
    }
  }

  /** When a pending call last made progress; an answer that has begun to arrive may be that of any call. */
  private getProgressAt(id: number): number {
    const call = this.pendingCalls.get(id);
    if (call === undefined) {
      return -Infinity;
    }
    const receivedAt = this.reader.isInFrame() ? this.lastReceivedAt : -Infinity;
    return Math.max(receivedAt, call.progressAt ?? -Infinity);
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
      socket.setTimeout(this.options.connectMs);
      socket.on('timeout', () => this.closeIfNothingCame(socket));
      socket.once('error', (err) => reject(this.createError('linkClosed', 'connect', [], err)));
    });
  }

  private attachHandlers(socket: net.Socket): void {
    const reader = new frames.FrameReader();
    const partsAnswer = new PartsAnswer();
    this.reader = reader;
    this.partsAnswer = partsAnswer;
    this.send(['parts']);
    // A middlebox that lost its state for the connection drops packets without a reset, which shows only in the absence
    // of traffic. With pings, that absence means a broken connection; the next call opens a new one.
    socket.setTimeout(SILENCE_TIMEOUT_MS);
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
      partsAnswer.settle(false);
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

  /**
   * Closes a connection whose time limit has passed, unless something has arrived by then, which begins the limit anew:
   * after a long task, timers run before it is read.
   */
  private closeIfNothingCame(socket: net.Socket): void {
    const { bytesRead, connecting } = socket;
    setImmediate(() => {
      if (socket.bytesRead > bytesRead || socket.connecting !== connecting) {
        return;
      }
      const { connectMs } = this.options;
      socket.destroy(
        this.socket === socket ? undefined : this.createError('deadline', 'connect', [connectMs]),
      );
    });
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
    if (this.options.isCut?.()) {
      return;
    }
    if (frame[0] === 'taken') {
      this.handleTaken(frame[1], frame[2]);
    } else if (frame[0] === 'parts' || frame[0] === 'pong') {
      this.partsAnswer.settle(frame[0] === 'parts');
    } else if (frame[0] === 'result' || frame[0] === 'failure') {
      this.handleAnswer(frame);
    }
  }

  private handleTaken(id: number, bytes: number): void {
    const call = this.pendingCalls.get(id);
    if (call !== undefined) {
      call.progressAt = performance.now();
      call.sender?.advance(bytes);
    }
  }

  private handleAnswer(
    frame: Extract<frames.Frame, readonly ['result' | 'failure', ...unknown[]]>,
  ): void {
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

/** Whether the peer of one connection takes calls in parts, once it has answered. */
class PartsAnswer {
  public isKnown = false;
  public readonly promise: Promise<boolean>;
  private resolve: (takesParts: boolean) => void = () => {};

  public constructor() {
    this.promise = new Promise((resolve) => {
      this.resolve = resolve;
    });
  }

  /** Sets the answer; the first one counts. */
  public settle(takesParts: boolean): void {
    this.isKnown = true;
    this.resolve(takesParts);
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
