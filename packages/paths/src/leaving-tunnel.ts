import * as peers from '@bramleyridge/peers';
import type * as undici from 'undici';

/** Closes a connection through a host that is leaving as soon as no call runs on it. */
export class LeavingTunnel {
  private socket: peers.TunnelSocket | undefined;
  private isLeaving = false;
  private isUsed = false;
  private isBusy = false;

  /** Returns a connector that notes its connection. */
  public watchConnector(
    connector: undici.buildConnector.connector,
  ): undici.buildConnector.connector {
    return (options, callback) => {
      connector(options, (...result) => {
        this.watch(result[1]);
        callback(...result);
      });
    };
  }

  /** Returns a handler that notes the begin and the end of its call. */
  public watchCall(handler: undici.Dispatcher.DispatchHandler): undici.Dispatcher.DispatchHandler {
    const { onComplete, onConnect, onError } = handler;
    let isRunning = false;
    const end = () => {
      if (isRunning) {
        isRunning = false;
        this.handleEnd();
      }
    };
    return Object.assign(handler, {
      onConnect: (abort: (err?: Error) => void) => {
        isRunning = true;
        this.isUsed = true;
        this.isBusy = true;
        onConnect?.call(handler, abort);
      },
      onComplete: (trailers: string[] | null) => {
        end();
        onComplete?.call(handler, trailers);
      },
      onError: (err: Error) => {
        end();
        onError?.call(handler, err);
      },
    });
  }

  private watch(socket: unknown): void {
    const tunnel = socket instanceof peers.TunnelSocket ? socket : undefined;
    this.socket = tunnel;
    this.isLeaving = false;
    this.isUsed = false;
    tunnel?.onLeaving(() => {
      if (this.socket === tunnel) {
        this.isLeaving = true;
        this.closeIfIdle();
      }
    });
  }

  private handleEnd(): void {
    this.isBusy = false;
    this.closeIfIdle();
  }

  /** A connection that was just opened waits for the call that it was opened for. */
  private closeIfIdle(): void {
    if (this.isLeaving && this.isUsed && !this.isBusy) {
      this.socket?.destroy();
    }
  }
}
