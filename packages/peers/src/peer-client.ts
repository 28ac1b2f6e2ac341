import * as net from 'node:net';
import * as tls from 'node:tls';

import * as schemas from '@bramleyridge/schemas';

import * as frames from './frame.js';
import type * as keyrings from './keyring.js';
import * as linkCounts from './link-counts.js';
import * as tlsOptions from './tls-options.js';

/** How often an idle link is tried, in milliseconds. */
const PING_MS = 4_000;

/** After how long without a call a link is ended, in milliseconds. */
const IDLE_MS = 10_000;

/** After how long without a byte a link is given up, in milliseconds. */
const SILENCE_MS = 9_000;

/** Where a peer is and how to reach it. */
export interface PeerClientOptions {
  readonly peer: string;
  readonly host: string;
  readonly port: number;
  /** The keys of the link; nothing where the network is trusted and the link is plain TCP. */
  readonly keyring: keyrings.Keyring | undefined;
  readonly connectMs: number;
  /** Whether the link is cut; failure tests cut links here. */
  readonly isCut?: () => boolean;
}

interface Waiting {
  readonly askedAt: number;
  readonly path: string;
  readonly resolve: (output: unknown) => void;
  readonly reject: (err: Error) => void;
}

/** Calls one peer over one connection, made when needed and remade when it falls silent. */
export class PeerClient {
  public readonly counts = new linkCounts.LinkCounts();
  private socket: net.Socket | undefined;
  private writer = new frames.FrameWriter();
  private usedAt = 0;
  private heardAt = 0;
  private connecting: Promise<net.Socket> | undefined;
  private waiting = new Map<number, Waiting>();
  private nextId = 1;
  private closed = false;

  public constructor(private readonly options: PeerClientOptions) {}

  /** Calls a procedure; rejects after the deadline, and tells the peer to stop working on it. */
  public async call(path: string, input: unknown, deadlineMs: number): Promise<unknown> {
    const askedAt = performance.now();
    const timeout = new Promise<never>((_, reject) => {
      const timer = setTimeout(() => {
        this.suspect(askedAt);
        reject(this.createError('deadline', path, [deadlineMs]));
      }, deadlineMs);
      timer.unref();
    });
    if (this.options.isCut?.()) {
      return timeout;
    }
    const id = this.nextId;
    this.nextId += 1;
    this.usedAt = performance.now();
    try {
      return await Promise.race([this.exchange(id, path, input, askedAt), timeout]);
    } finally {
      if (this.waiting.delete(id)) {
        this.send(['cancel', id]);
      }
    }
  }

  /** Ends the connection for good. */
  public close(): void {
    this.closed = true;
    this.socket?.destroy();
  }

  private async exchange(
    id: number,
    path: string,
    input: unknown,
    askedAt: number,
  ): Promise<unknown> {
    await this.getSocket();
    return new Promise((resolve, reject) => {
      this.waiting.set(id, { askedAt, path, resolve, reject });
      this.send(['call', id, path, input]);
    });
  }

  private send(frame: frames.Frame): void {
    if (this.socket === undefined || this.socket.destroyed || this.options.isCut?.()) {
      return;
    }
    const bytes = this.writer.encode(frame);
    this.counts.noteOut(bytes.length);
    this.socket.write(bytes);
  }

  private async getSocket(): Promise<net.Socket> {
    if (this.closed) {
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
      const socket = this.openSocket();
      socket.setNoDelay(true);
      socket.setTimeout(this.options.connectMs, () => {
        socket.destroy(this.createError('deadline', 'connect', [this.options.connectMs]));
      });
      socket.once(this.options.keyring === undefined ? 'connect' : 'secureConnect', () => {
        this.socket = socket;
        this.writer = new frames.FrameWriter();
        this.watch(socket);
        resolve(socket);
      });
      socket.once('error', (err) => reject(this.createError('linkClosed', 'connect', [], err)));
    });
  }

  private openSocket(): net.Socket {
    const { host, port, keyring } = this.options;
    if (keyring === undefined) {
      return net.connect({ host, port });
    }
    return tls.connect({
      ...tlsOptions.pskOptions,
      host,
      port,
      pskCallback: () => keyring.getActive(),
      checkServerIdentity: () => undefined,
    });
  }

  private watch(socket: net.Socket): void {
    const reader = new frames.FrameReader();
    // A middlebox that forgot the connection drops bytes without a reset; only silence shows it.
    // Pings make silence suspicious, and a new connection is made for the next call.
    socket.setTimeout(SILENCE_MS, () => socket.destroy());
    const pinger = setInterval(() => this.keep(socket), PING_MS);
    pinger.unref();
    socket.on('data', (bytes: Buffer) => {
      this.counts.noteIn(bytes.length);
      this.heardAt = performance.now();
      try {
        for (const frame of reader.push(bytes)) {
          this.take(frame);
        }
      } catch (err) {
        socket.destroy(schemas.toError(err));
      }
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearInterval(pinger);
      const lost = this.waiting;
      this.waiting = new Map();
      lost.forEach((call) => call.reject(this.createError('linkClosed', call.path)));
    });
  }

  /**
   * A connection on which nothing came since the call went out may be forgotten by something in between,
   * for good. The next call makes a new one, which works; waiting for pings would lose more calls first.
   */
  private suspect(askedAt: number): void {
    const isPending = [...this.waiting.values()].some((call) => call.askedAt === askedAt);
    if (isPending && this.heardAt < askedAt) {
      this.socket?.destroy();
    }
  }

  /** Tries a link that is used, and ends one that is not: pings over idle links add up. */
  private keep(socket: net.Socket): void {
    if (this.waiting.size === 0 && performance.now() - this.usedAt > IDLE_MS) {
      socket.destroy();
      return;
    }
    this.send(['ping']);
  }

  private take(frame: frames.Frame): void {
    if ((frame[0] !== 'result' && frame[0] !== 'failure') || this.options.isCut?.()) {
      return;
    }
    const call = this.waiting.get(frame[1]);
    this.waiting.delete(frame[1]);
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

/** An error that the peer itself answered with. */
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
