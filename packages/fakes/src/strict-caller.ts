import * as net from 'node:net';

/** What a caller received for one call. */
export interface StrictAnswer {
  /** The status; 0 if the connection ended before a whole head. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Whether the answer is framed as complete. */
  readonly isWhole: boolean;
  readonly tookMs: number;
}

type Parsed = Omit<StrictAnswer, 'tookMs'> & { readonly rest: Buffer };

const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const STATUS_LINE = /^HTTP\/1\.1 (\d{3}) [^\r\n]*$/;
const HEADER_LINE = /^([\w!#$%&'*+.^`|~-]+): ?([^\r\n]*)$/;
const CHUNK_SIZE = /^[\da-f]+$/i;

/** A caller that reads the bytes of one connection, and throws for any that are no answer in the protocol. */
export class StrictCaller {
  private received: Buffer = Buffer.alloc(0);
  private state: 'open' | 'ended' | 'reset' = 'open';
  private notify: () => void = () => {};

  private constructor(private readonly socket: net.Socket) {
    socket.on('data', (part: Buffer) => {
      this.received = Buffer.concat([this.received, part]);
      this.notify();
    });
    socket.on('end', () => this.end('ended'));
    socket.on('error', () => this.end('reset'));
    socket.on('close', () => this.end('reset'));
  }

  /** Connects to a port of an IP address. */
  public static async connect(port: number, host = '127.0.0.1'): Promise<StrictCaller> {
    const socket = net.connect({ port, host, noDelay: true });
    const caller = new StrictCaller(socket);
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return caller;
  }

  /** Returns whether another call can be sent. */
  public isOpen(): boolean {
    return this.state === 'open';
  }

  /** Closes the connection. */
  public close(): void {
    this.socket.destroy();
  }

  /** Sends the bytes of a call and returns its answer. */
  public async send(bytes: string): Promise<StrictAnswer> {
    if (this.received.length > 0) {
      throw new Error(`bytes that belong to no call: ${JSON.stringify(this.received.toString())}`);
    }
    const startedAt = performance.now();
    this.socket.write(bytes);
    for (;;) {
      const parsed = parseAnswer(this.received, this.state);
      if (parsed !== undefined) {
        const { rest, ...answer } = parsed;
        this.received = rest;
        if (answer.headers.connection === 'close') {
          this.end('ended');
        }
        return { ...answer, tookMs: performance.now() - startedAt };
      }
      await new Promise<void>((resolve) => {
        this.notify = resolve;
      });
    }
  }

  private end(state: 'ended' | 'reset'): void {
    if (this.state === 'open') {
      this.state = state;
    }
    this.notify();
  }
}

/** Parses the answer at the beginning of the bytes; undefined if more bytes may complete it. */
function parseAnswer(bytes: Buffer, state: 'open' | 'ended' | 'reset'): Parsed | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) {
    return state === 'open'
      ? undefined
      : { status: 0, headers: {}, body: '', isWhole: false, rest: Buffer.alloc(0) };
  }
  const head = parseHead(bytes.subarray(0, headEnd).toString('latin1'));
  const after = bytes.subarray(headEnd + HEAD_END.length);
  if (head.status < 200) {
    return parseAnswer(after, state);
  }
  const whole = findBody(head.headers, after, state);
  if (whole !== undefined) {
    return { ...head, body: whole.body, isWhole: true, rest: whole.rest };
  }
  return state === 'open'
    ? undefined
    : { ...head, body: after.toString(), isWhole: false, rest: Buffer.alloc(0) };
}

function parseHead(text: string): Pick<StrictAnswer, 'status' | 'headers'> {
  const [first = '', ...lines] = text.split(LINE_END);
  const status = STATUS_LINE.exec(first)?.[1];
  if (status === undefined) {
    throw new Error(`no status line: ${JSON.stringify(first)}`);
  }
  const pairs = lines.map((line) => {
    const pair = HEADER_LINE.exec(line);
    if (pair === null) {
      throw new Error(`no header: ${JSON.stringify(line)}`);
    }
    return [pair[1]!.toLowerCase(), pair[2]!] as const;
  });
  const headers = Object.fromEntries(pairs);
  if (headers['content-length'] !== undefined && headers['transfer-encoding'] !== undefined) {
    throw new Error('a length and a transfer encoding');
  }
  return { status: Number(status), headers };
}

function findBody(
  headers: Readonly<Record<string, string>>,
  after: Buffer,
  state: 'open' | 'ended' | 'reset',
): { readonly body: string; readonly rest: Buffer } | undefined {
  if (headers['transfer-encoding'] === 'chunked') {
    return findChunks(after);
  }
  const stated = headers['content-length'];
  if (stated === undefined) {
    return state === 'ended' ? { body: after.toString(), rest: Buffer.alloc(0) } : undefined;
  }
  const length = Number(stated);
  return after.length < length
    ? undefined
    : { body: after.subarray(0, length).toString(), rest: after.subarray(length) };
}

function findChunks(bytes: Buffer): { readonly body: string; readonly rest: Buffer } | undefined {
  const parts: Buffer[] = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf(LINE_END, at);
    if (lineEnd < 0) {
      return undefined;
    }
    const size = bytes.subarray(at, lineEnd).toString('latin1');
    if (!CHUNK_SIZE.test(size)) {
      throw new Error(`no size of a chunk: ${JSON.stringify(size)}`);
    }
    const start = lineEnd + LINE_END.length;
    const end = start + Number.parseInt(size, 16);
    if (bytes.length < end + LINE_END.length) {
      return undefined;
    }
    if (bytes.subarray(end, end + LINE_END.length).toString('latin1') !== LINE_END) {
      throw new Error('a chunk is longer than its size');
    }
    at = end + LINE_END.length;
    if (end === start) {
      return { body: Buffer.concat(parts).toString(), rest: bytes.subarray(at) };
    }
    parts.push(bytes.subarray(start, end));
  }
}
