import * as net from 'node:net';
import * as stream from 'node:stream';

import * as peers from '@bramleyridge/peers';
import type * as undici from 'undici';

import * as answerEnds from './answer-end.js';

/** Lowest status of a final answer; those below announce one. */
const FIRST_FINAL_STATUS = 200;

/** The failure of a connection that ended before its request was sent, or was reset just after its end. */
export class UnreadRequestError extends Error {
  public override readonly name = 'UnreadRequestError';

  public constructor(cause?: unknown) {
    super('the connection ended before the upstream had taken the whole request', { cause });
  }
}

/** The call that is under way on a connection. */
interface GuardedCall {
  readonly isLarge: boolean;
  /** Number of bytes that were written to its connection before it. */
  bytesBefore: number;
  /** Undefined until the head of its answer has arrived. */
  rawHeaders: Buffer[] | undefined;
}

/**
 * Tells the end of one connection from the end of an answer that the connection alone marks. Such an answer is whole
 * only if its request was sent by then and no reset follows: an upstream that gives up an upload closes its connection
 * in order, and the system resets it because of the bytes that were not read. The HTTP client closes a connection at its
 * end and would see neither, so the end is held back from it.
 */
export class EndGuard {
  private call: GuardedCall | undefined;
  private socket: stream.Duplex | undefined;

  /** Returns a connector whose connections are guarded. */
  public guardConnector(
    connector: undici.buildConnector.connector,
  ): undici.buildConnector.connector {
    return (options, callback) => {
      connector(options, (...result) => {
        const socket: unknown = result[1];
        // The HTTP library's own connector names no connection if it fails.
        if (socket instanceof stream.Duplex) {
          this.socket = socket;
          this.guard(socket);
        }
        callback(...result);
      });
    };
  }

  /** Returns a handler that notes the call that is under way. */
  public guardCall(
    { body }: undici.Dispatcher.DispatchOptions,
    handler: undici.Dispatcher.DispatchHandler,
  ): undici.Dispatcher.DispatchHandler {
    const { onComplete, onConnect, onError, onHeaders } = handler;
    const call: GuardedCall = {
      isLarge: getSize(body) > peers.LARGE_REQUEST_BYTES,
      bytesBefore: 0,
      rawHeaders: undefined,
    };
    return Object.assign(handler, {
      onConnect: (...args: Parameters<NonNullable<typeof onConnect>>) => {
        this.call = call;
        call.bytesBefore = countBytes(this.socket);
        call.rawHeaders = undefined;
        onConnect?.apply(handler, args);
      },
      onHeaders: (...args: Parameters<NonNullable<typeof onHeaders>>) => {
        if (args[0] >= FIRST_FINAL_STATUS) {
          [, call.rawHeaders] = args;
        }
        return onHeaders?.apply(handler, args) ?? true;
      },
      onComplete: (...args: Parameters<NonNullable<typeof onComplete>>) => {
        this.endCall(call);
        onComplete?.apply(handler, args);
        this.closeTunnel(call);
      },
      onError: (...args: Parameters<NonNullable<typeof onError>>) => {
        this.endCall(call);
        onError?.apply(handler, args);
      },
    });
  }

  private endCall(call: GuardedCall): void {
    if (this.call === call) {
      this.call = undefined;
    }
  }

  /**
   * Closes a tunnel after a large request: the host at its other end holds back the end of the upstream's connection, and
   * another call would be sent on one that has ended.
   */
  private closeTunnel({ bytesBefore }: GuardedCall): void {
    const { socket } = this;
    const isLarge = countBytes(socket) - bytesBefore > peers.LARGE_REQUEST_BYTES;
    if (socket instanceof peers.TunnelSocket && isLarge) {
      socket.destroy();
    }
  }

  private guard(socket: stream.Duplex): void {
    const push = socket.push.bind(socket);
    let isHeld = false;
    const pass = () => {
      if (!socket.destroyed) {
        push(null);
        socket.read(0);
      }
    };
    Object.assign(socket, {
      push: (chunk: unknown, encoding?: BufferEncoding) => {
        const { call } = this;
        const wasSent = socket.writableLength === 0;
        if (chunk !== null || call === undefined || (wasSent && !call.isLarge)) {
          return push(chunk, encoding);
        }
        if (!isHeld) {
          isHeld = true;
          // The HTTP client may still have to read the head of the answer.
          setImmediate(() => this.checkEnd(socket, call, wasSent, pass));
        }
        return false;
      },
    });
  }

  private checkEnd(
    socket: stream.Duplex,
    call: GuardedCall,
    wasSent: boolean,
    pass: () => void,
  ): void {
    const isMarked =
      call.rawHeaders === undefined || answerEnds.isEndMarked(readHeaders(call.rawHeaders));
    if (this.call !== call || isMarked) {
      pass();
    } else if (!wasSent) {
      socket.destroy(new UnreadRequestError());
    } else if (socket instanceof net.Socket) {
      setTimeout(() => checkReset(socket, pass), peers.RESET_MS);
    } else if (socket instanceof peers.TunnelSocket) {
      // Only this host knows the size of the request; bytes of it may still be on their way to the other one.
      socket.onClosed(pass);
    } else {
      pass();
    }
  }
}

/** Counts the bytes that were written to a tunnel; those of other connections don't matter. */
function countBytes(socket: stream.Duplex | undefined): number {
  return socket instanceof peers.TunnelSocket ? socket.bytesWritten + socket.writableLength : 0;
}

/** Ends a connection with an error if it was reset after its end. */
function checkReset(socket: net.Socket, pass: () => void): void {
  if (socket.destroyed) {
    return;
  }
  // An empty write fails after a reset and has no effect otherwise.
  socket.write('', (err) => {
    if (err) {
      socket.destroy(new UnreadRequestError(err));
    } else {
      pass();
    }
  });
}

/** Returns the size of a request's body, which is unknown for a stream. */
function getSize(body: undici.Dispatcher.DispatchOptions['body']): number {
  if (body === undefined || body === null) {
    return 0;
  }
  return typeof body === 'string' || body instanceof Uint8Array
    ? Buffer.byteLength(body)
    : Infinity;
}

/** Reads the headers of an answer from the names and values that alternate in it. */
function readHeaders(rawHeaders: readonly Buffer[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toString('latin1').toLowerCase();
    const value = rawHeaders[i + 1]!.toString('latin1');
    headers[name] = headers[name] === undefined ? value : `${headers[name]}, ${value}`;
  }
  return headers;
}
