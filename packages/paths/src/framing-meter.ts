import type * as net from 'node:net';

import * as undici from 'undici';

/**
 * The most bytes that a connection may bring between two parts of answers, in bytes: the head of an answer, and what
 * frames its body. They include those that are read ahead of a slow reader.
 */
const MAX_FRAMING_BYTES = 256 * 1024;

/** Lowest status of a final answer; those below announce one. */
const FIRST_FINAL_STATUS = 200;

/** The failure of a connection that brings bytes without end which are no answer. */
export class EndlessFramingError extends Error {
  public override readonly name = 'EndlessFramingError';

  public constructor() {
    super(`more than ${MAX_FRAMING_BYTES} bytes without an answer`);
  }
}

/**
 * Counts the bytes of one connection since the last part of an answer, and closes it when they are too many. The HTTP
 * client limits the names and values of headers only: not empty lines, spaces, the text of a status, informational
 * responses or the extensions of chunks.
 */
export class FramingMeter {
  private socket: net.Socket | undefined;
  private bytesAtPart = 0;
  private parts = 0;

  /** Number of parts of answers that the connection has brought. */
  public get partCount(): number {
    return this.parts;
  }

  /** Returns a connector that notes its connection. */
  public meterConnector(
    connect: undici.Client.Options['connect'],
  ): undici.buildConnector.connector {
    const connector =
      typeof connect === 'function' ? connect : undici.buildConnector({ ...connect });
    return (options, callback) => {
      connector(options, (...result) => {
        this.socket = result[1] ?? undefined;
        callback(...result);
      });
    };
  }

  /** Starts counting on a new connection. */
  public begin(): void {
    const { socket } = this;
    this.bytesAtPart = 0;
    socket?.on('readable', () => {
      if (socket.bytesRead - this.bytesAtPart > MAX_FRAMING_BYTES) {
        socket.destroy(new EndlessFramingError());
      }
    });
  }

  /** Closes the connection. An error would also fail the calls that wait for it, which go on over a new one. */
  public close(): void {
    this.socket?.destroy();
  }

  /** Returns a handler that notes the parts of an answer before it passes them on. */
  public meterAnswer(
    handler: undici.Dispatcher.DispatchHandler,
  ): undici.Dispatcher.DispatchHandler {
    const { onData, onHeaders } = handler;
    return Object.assign(handler, {
      onHeaders: (status: number, ...rest: HeadRest) => {
        if (status >= FIRST_FINAL_STATUS) {
          this.notePart();
        }
        return onHeaders?.call(handler, status, ...rest) ?? true;
      },
      onData: (part: Buffer) => {
        this.parts += 1;
        this.notePart();
        return onData?.call(handler, part) ?? true;
      },
    });
  }

  private notePart(): void {
    this.bytesAtPart = this.socket?.bytesRead ?? 0;
  }
}

/** The parameters of a head after its status. */
type HeadRest =
  Parameters<NonNullable<undici.Dispatcher.DispatchHandler['onHeaders']>> extends [
    number,
    ...infer Rest,
  ]
    ? Rest
    : never;
