import * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import type * as gateway from '@bramleyridge/gateway';

import * as continuedRuns from './continued-runs.js';
import type * as smallSites from './small-site.js';

/** How an engine states where its answer ends: at the end of its connection, or by a mark. */
export const FRAMINGS = {
  none: { version: 'HTTP/1.1', lines: [], isMarked: false },
  'Connection: close': { version: 'HTTP/1.1', lines: ['connection: close'], isMarked: false },
  'HTTP/1.0': { version: 'HTTP/1.0', lines: [], isMarked: false },
  identity: { version: 'HTTP/1.1', lines: ['transfer-encoding: identity'], isMarked: false },
  chunked: { version: 'HTTP/1.1', lines: ['transfer-encoding: chunked'], isMarked: true },
} as const;

/** The name of a framing. */
export type FramingName = keyof typeof FRAMINGS;

type Framing = (typeof FRAMINGS)[FramingName];

/** What an engine does at the last copy order of a run, and how it answers the order. */
export interface LastOrder {
  /** Whether the order stops the run, or the run has ended with its last event before or just after the order. */
  readonly run: 'stopped' | 'ended-before' | 'ended-after';
  readonly result: 'made' | 'no-room' | 'no-run' | 'busy' | 'no-room-kept' | 'lost' | 'unanswered';
  /** Time between the order and the end of the connection, in milliseconds. */
  readonly closeAfterMs?: number;
  /** Time between the order and its answer, in milliseconds. */
  readonly answerAfterMs?: number;
  /** Framing of the answer of the engine at which the run goes on; the same by default. */
  readonly nextFraming?: FramingName;
  /** Whether that engine sends no more events. */
  readonly isNextEmpty?: boolean;
  /** The answer of that engine, if it is unusual. */
  readonly nextAnswer?: fakes.UnusualAnswer;
}

/** Number of the events of a whole run. */
const EVENTS = 2;

/** Interval of the comments by which a run shows that it goes on, in milliseconds. */
const COMMENT_INTERVAL_MS = 200;

/** A comment in a stream. */
export const COMMENT = ': alive\n\n';

/** The body of a whole answer without comments. */
export const WHOLE = [1, 2].map((id) => continuedRuns.createEvent(id)).join('');

/** What engines have seen of a call. */
export interface EngineView {
  /** The engines at which it has arrived, by address. */
  readonly sends: string[];
  /** When its last order arrived, as a time of `performance.now`. */
  orderedAt: number | undefined;
  /** Its first connection. */
  open: net.Socket | undefined;
}

/**
 * Engines that make one event of each call, and stop its run at the last order to copy it. They close connections in
 * order: only a marked end tells the end of a run from the end of its connection.
 */
export class UnmarkedEngines {
  /** Called at each last order. */
  public onLastOrder: () => void = () => {};
  private readonly views = new Map<string, EngineView>();

  public constructor(
    private readonly framing: FramingName,
    private readonly lastOrders: Readonly<Record<string, LastOrder>>,
  ) {}

  /** Starts an engine and lists it. */
  public async add(
    site: smallSites.SmallSite,
    name: string,
    onEnd: (close: () => void) => void,
  ): Promise<string> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer({ noDelay: true }, (socket) => {
      sockets.add(socket);
      this.accept(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    onEnd(() => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const listed = { availabilityZone: 'a', isLeaving: false, slots: 32, coldMs: 0, bornMs: 1_000 };
    site.list.upstreams.push({ upstreamId: name, service: 'engines', address, ...listed });
    return address;
  }

  /** Returns what engines have seen of a call. */
  public getView(callId: string): EngineView {
    const view = this.views.get(callId) ?? { sends: [], orderedAt: undefined, open: undefined };
    this.views.set(callId, view);
    return view;
  }

  /** Carries out a copy order. */
  public async copy(
    { isLast, requestId }: gateway.KvCacheCopyOrder,
    signal: AbortSignal,
  ): Promise<gateway.KvCacheCopyResult> {
    if (!isLast) {
      return { kind: 'made', handle: 'first' };
    }
    const view = this.getView(requestId);
    view.orderedAt = performance.now();
    this.onLastOrder();
    const { answerAfterMs = 0, closeAfterMs = 0, result, run } = this.lastOrders[requestId]!;
    if (run === 'ended-before') {
      this.finish(view);
    } else {
      setTimeout(() => (run === 'stopped' ? view.open?.end() : this.finish(view)), closeAfterMs);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, answerAfterMs);
    });
    if (result === 'unanswered') {
      return new Promise((_resolve, reject) => {
        signal.addEventListener('abort', () => reject(signal.reason as Error));
      });
    }
    if (result === 'lost') {
      throw new Error('the answer was lost');
    }
    if (result === 'no-room-kept') {
      return { kind: 'no-room', handle: 'kept' };
    }
    return result === 'made' ? { kind: 'made', handle: 'last' } : { kind: result };
  }

  private accept(socket: net.Socket): void {
    let received = '';
    socket.on('error', () => {});
    socket.on('data', (part: Buffer) => {
      received += part.toString('latin1');
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd >= 0) {
        this.serve(socket, received.slice(0, headEnd));
        received = '';
      }
    });
  }

  private serve(socket: net.Socket, head: string): void {
    const find = (name: string) => new RegExp(`^${name}: *(.*?)\\r?$`, 'im').exec(head)?.[1];
    if (head.startsWith('GET /health')) {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n');
      return;
    }
    const callId = String(find('call-id'));
    const view = this.getView(callId);
    view.sends.push(`127.0.0.1:${socket.localPort}`);
    const isNext = find('resume-from') !== undefined;
    const nextFraming = this.lastOrders[callId]?.nextFraming ?? this.framing;
    const framing = FRAMINGS[isNext ? nextFraming : this.framing];
    const nextAnswer = this.lastOrders[callId]?.nextAnswer;
    if (isNext && nextAnswer !== undefined) {
      const headers = { 'call-id': callId, 'content-type': 'text/event-stream' };
      const parts = [continuedRuns.createEvent(EVENTS)];
      socket.write(fakes.frameUnusualAnswer(nextAnswer, headers, parts));
      return;
    }
    const { lines, version } = framing;
    const fields = [`call-id: ${callId}`, 'content-type: text/event-stream', ...lines];
    socket.write(`${version} 200 OK\r\n${fields.join('\r\n')}\r\n\r\n`);
    if (!isNext) {
      view.open = socket;
      send(socket, framing, continuedRuns.createEvent(1));
      const timer = setInterval(() => send(socket, framing, COMMENT), COMMENT_INTERVAL_MS);
      socket.once('close', () => clearInterval(timer));
      return;
    }
    const events = this.lastOrders[callId]?.isNextEmpty === true ? 0 : EVENTS;
    for (let id = Number(find('last-event-id') ?? 0) + 1; id <= events; id += 1) {
      send(socket, framing, continuedRuns.createEvent(id));
    }
    end(socket, framing);
  }

  /** Sends the last event of a run and ends it. */
  private finish({ open }: EngineView): void {
    if (open?.writable) {
      const framing = FRAMINGS[this.framing];
      send(open, framing, continuedRuns.createEvent(EVENTS));
      end(open, framing);
    }
  }
}

function send(socket: net.Socket, { isMarked }: Framing, text: string): void {
  if (socket.writable) {
    socket.write(isMarked ? `${text.length.toString(16)}\r\n${text}\r\n` : text);
  }
}

function end(socket: net.Socket, { isMarked }: Framing): void {
  socket.end(isMarked ? '0\r\n\r\n' : '');
}
