import * as net from 'node:net';

import * as resetConnections from './reset-connection.js';
import * as shortAnswers from './short-answer-upstream.js';

/**
 * How a connection ends after an answer: it stays open; it is closed in order, and its other direction stays open and
 * unread; or it is reset, `resetMs` after an orderly end or at once.
 */
export type EarlyEnd =
  | { readonly kind: 'none' }
  | { readonly kind: 'close' }
  | { readonly kind: 'close-and-reset'; readonly resetMs: number }
  | { readonly kind: 'reset' };

/** The bytes that are sent for a call, and when. */
export interface EarlyAnswer {
  readonly bytes: Buffer;
  /** Whether the body of the call is read before it is answered; otherwise nothing is read after its head. */
  readonly readsBody: boolean;
  readonly end: EarlyEnd;
}

/** Time after which a connection that was closed in one direction is given up, in milliseconds. */
const GIVE_UP_MS = 1_500;

const HEAD_END = '\r\n\r\n';

/** An upstream that may answer a call before it has read its body. */
export class EarlyAnswerUpstream {
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer({ noDelay: true, allowHalfOpen: true }, (socket) =>
    this.accept(socket),
  );

  public constructor(private readonly answer: (call: shortAnswers.ReceivedCall) => EarlyAnswer) {}

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
    let head = '';
    let answer: EarlyAnswer | undefined;
    let missing = 0;
    let number = 0;
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    socket.once('end', () => socket.end());
    socket.on('data', (part: Buffer) => {
      if (answer === undefined) {
        head += part.toString('latin1');
        const headLength = head.indexOf(HEAD_END) + HEAD_END.length;
        if (headLength < HEAD_END.length) {
          return;
        }
        number += 1;
        const call = shortAnswers.parseCallHead(head.slice(0, headLength), number);
        missing = Number(call.headers['content-length'] ?? 0) - (head.length - headLength);
        answer = this.answer(call);
      } else {
        missing -= part.length;
      }
      if (!answer.readsBody) {
        socket.pause();
        send(socket, answer);
      } else if (missing <= 0) {
        send(socket, answer);
        answer = undefined;
        head = '';
      }
    });
  }
}

function send(socket: net.Socket, { bytes, end }: EarlyAnswer): void {
  if (end.kind === 'none') {
    socket.write(bytes);
    return;
  }
  if (end.kind === 'reset') {
    socket.write(bytes, () => resetConnections.resetConnection(socket));
    return;
  }
  const resetMs = end.kind === 'close' ? GIVE_UP_MS : end.resetMs;
  // The system resets a connection that is given up while bytes are unread.
  socket.end(bytes, () => setTimeout(() => socket.destroy(), resetMs).unref());
}
