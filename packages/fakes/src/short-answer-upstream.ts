import * as net from 'node:net';

import * as resetConnections from './reset-connection.js';

/** How a connection ends after an answer that was cut short: by a close or a reset, at once or a little later. */
export type ConnectionEnd = 'close' | 'reset' | 'late close' | 'late reset';

/** The bytes that are sent for a call; without an end, the connection stays open. */
export interface ShortAnswer {
  readonly bytes: Buffer;
  readonly end?: ConnectionEnd | undefined;
}

/** A call as it was received. */
export interface ReceivedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Which call on its connection it is, from 1 on. */
  readonly number: number;
}

/** Time between the last byte of an answer and a late end of its connection, in milliseconds. */
const LATE_MS = 10;

const HEAD_END = '\r\n\r\n';

/** An upstream that sends exactly the bytes that are given for a call, and then ends the connection as given. */
export class ShortAnswerUpstream {
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));

  public constructor(private readonly answer: (call: ReceivedCall) => ShortAnswer) {}

  /** Starts it and returns its address. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Ends it with all connections. */
  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(socket: net.Socket): void {
    let received = '';
    let number = 0;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('data', (part: Buffer) => {
      received += part.toString('latin1');
      const headLength = received.indexOf(HEAD_END) + HEAD_END.length;
      if (headLength < HEAD_END.length) {
        return;
      }
      const call = parseCallHead(received.slice(0, headLength), number + 1);
      if (received.length < headLength + Number(call.headers['content-length'] ?? 0)) {
        return;
      }
      received = '';
      number += 1;
      send(socket, this.answer(call));
    });
  }
}

/** Parses the head of a call, up to its empty line. */
export function parseCallHead(head: string, number: number): ReceivedCall {
  const [first = '', ...lines] = head.slice(0, -HEAD_END.length).split('\r\n');
  const [method = '', path = ''] = first.split(' ');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const at = line.indexOf(':');
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
  return { method, path, headers, number };
}

function send(socket: net.Socket, { bytes, end }: ShortAnswer): void {
  const finish = () => {
    if (end?.endsWith('reset')) {
      resetConnections.resetConnection(socket);
    } else if (end !== undefined) {
      socket.end();
    }
  };
  socket.write(bytes, () => {
    if (end?.startsWith('late')) {
      setTimeout(finish, LATE_MS);
    } else {
      finish();
    }
  });
}

/** How an answer states where its body ends, and what precedes its head. */
export interface AnswerFraming {
  readonly before?: string;
  readonly version?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body: 'length' | 'chunked' | 'until close';
}

/** The framings of answers, by name. */
export const FRAMINGS = {
  length: { body: 'length' },
  chunked: { body: 'chunked' },
  'until close': { body: 'until close' },
  'length, closing': { body: 'length', headers: { connection: 'close' } },
  'chunked, closing': { body: 'chunked', headers: { connection: 'close' } },
  'identity until close': { body: 'until close', headers: { 'transfer-encoding': 'identity' } },
  'HTTP/1.0 until close': { body: 'until close', version: 'HTTP/1.0' },
  'after early hints': {
    body: 'length',
    before: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
  },
} as const satisfies Readonly<Record<string, AnswerFraming>>;

/** An answer, and the length of all its heads. */
export interface FramedAnswer {
  readonly bytes: Buffer;
  readonly headLength: number;
}

/** Creates an answer with a framing; the body comes in chunks of `parts`, if in any. */
export function frameAnswer(
  framing: AnswerFraming,
  headers: Readonly<Record<string, string>>,
  parts: readonly string[],
): FramedAnswer {
  const { before = '', version = 'HTTP/1.1' } = framing;
  const body = parts.join('');
  const stated = {
    length: { 'content-length': String(Buffer.byteLength(body)) },
    chunked: { 'transfer-encoding': 'chunked' },
    'until close': {},
  }[framing.body];
  const lines = Object.entries({ ...headers, ...framing.headers, ...stated });
  const head = `${before}${version} 200 OK\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
  const chunks = [...parts, '']
    .map((part) => `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n`)
    .join('');
  return {
    bytes: Buffer.from(`${head}${framing.body === 'chunked' ? chunks : body}`),
    headLength: Buffer.byteLength(head),
  };
}
