import * as crypto from 'node:crypto';
import * as net from 'node:net';

/** Size of the block that is written over and over, in bytes. */
const BLOCK_BYTES = 64 * 1024;

/** A kind of bytes that never end: those that begin them, and those that are repeated. */
export interface EndlessBytes {
  /** Creates the first bytes of an answer to a call with these headers. */
  readonly first?: (call: string) => string;
  readonly repeated: string | Buffer;
}

/** An upstream that receives a call and writes bytes without end, as fast as they are taken, until its peer closes. */
export class EndlessUpstream {
  /** Number of calls received. */
  public calls = 0;
  /** Number of connections on which bytes are written. */
  public writing = 0;
  private written = 0;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer((socket) => this.accept(socket));

  public constructor(
    private readonly bytes: EndlessBytes,
    /** Pause between two writes, in milliseconds; without one, only the peer limits the pace. */
    private readonly pauseMs = 0,
  ) {}

  /** Starts it and returns its address. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Returns the number of bytes that peers have taken, or their sockets have buffered. */
  public countTaken(): number {
    return this.written;
  }

  /** Ends it with all connections. */
  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(socket: net.Socket): void {
    this.sockets.add(socket);
    let received = '';
    socket.on('error', () => {});
    socket.once('close', () => {
      this.sockets.delete(socket);
    });
    socket.on('data', (part: Buffer) => {
      received += part.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        this.answer(socket, received);
        received = '';
      }
    });
  }

  private answer(socket: net.Socket, call: string): void {
    this.calls += 1;
    this.writing += 1;
    socket.once('close', () => {
      this.writing -= 1;
    });
    const { first, repeated } = this.bytes;
    const unit = Buffer.from(repeated);
    const count = this.pauseMs > 0 ? 1 : Math.max(1, Math.floor(BLOCK_BYTES / unit.length));
    const block = Buffer.concat(Array.from({ length: count }, () => unit));
    const write = () => {
      if (socket.destroyed) {
        return;
      }
      socket.write(block, () => {
        this.written += block.length;
        setTimeout(write, this.pauseMs);
      });
    };
    socket.write(first?.(call) ?? '');
    write();
  }
}

const OK = 'HTTP/1.1 200 OK\r\n';

/** Returns the header of a call that its answer must repeat. */
function echo(call: string): string {
  return `call-id: ${/^call-id: (.*)$/im.exec(call)?.[1]?.trim() ?? ''}\r\n`;
}

const CHUNKED = (call: string) => `${OK}${echo(call)}transfer-encoding: chunked\r\n\r\n`;
const EVENTS = (call: string) => `${OK}${echo(call)}content-type: text/event-stream\r\n\r\n`;

/** Bytes that never become the head of an answer. */
export const ENDLESS_HEADS: Readonly<Record<string, EndlessBytes>> = {
  'random bytes': { repeated: crypto.randomBytes(BLOCK_BYTES) },
  'one line': { repeated: 'x' },
  'empty lines': { repeated: '\r\n' },
  'one status line': { first: () => 'HTTP/1.1 200 ', repeated: 'x' },
  'header lines': { first: () => OK, repeated: 'name: value\r\n' },
  'one header value': { first: () => `${OK}name: `, repeated: 'x' },
  'spaces before a header value': { first: () => `${OK}name: `, repeated: ' ' },
  'informational responses': { repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'continue responses': { repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
};

/** Bytes that never become the body of an answer, or never end it. */
export const ENDLESS_BODIES: Readonly<Record<string, EndlessBytes>> = {
  'a body without a length': { first: (call) => `${OK}${echo(call)}\r\n`, repeated: 'x' },
  'small chunks': { first: CHUNKED, repeated: '1\r\nx\r\n' },
  'one chunk extension': { first: (call) => `${CHUNKED(call)}1;a=`, repeated: 'x' },
  'chunk extensions': { first: CHUNKED, repeated: '1;name=value\r\nx\r\n' },
  trailers: { first: (call) => `${CHUNKED(call)}0\r\n`, repeated: 'name: value\r\n' },
  'spaces before a trailer value': {
    first: (call) => `${CHUNKED(call)}0\r\nname:`,
    repeated: ' ',
  },
};

/** Streams of events that bring nothing. */
export const ENDLESS_EVENTS: Readonly<Record<string, EndlessBytes>> = {
  'one event': { first: EVENTS, repeated: 'x' },
  'one event in small chunks': {
    first: (call) =>
      `${OK}${echo(call)}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
    repeated: '1\r\nx\r\n',
  },
  'one event of many lines': { first: EVENTS, repeated: 'data: x\n' },
  comments: { first: EVENTS, repeated: ': x\n\n' },
  'events without an identifier': { first: EVENTS, repeated: 'data: x\n\n' },
};

/** An answer that is longer than its stated length. */
export const LONGER_THAN_STATED: EndlessBytes = {
  first: (call) => `${OK}${echo(call)}content-length: 4\r\n\r\n`,
  repeated: 'x',
};

/** The report of a failure whose body doesn't end. */
export const ENDLESS_FAILURE: EndlessBytes = {
  first: () => 'HTTP/1.1 500 Failure\r\n\r\n',
  repeated: 'x',
};

/** A whole answer, and then bytes that nobody asked for. */
export const ENDLESS_AFTER_ANSWER: EndlessBytes = {
  first: (call) => `${OK}${echo(call)}content-length: 4\r\n\r\ndone`,
  repeated: `${OK}content-length: 4\r\n\r\nmore`,
};
