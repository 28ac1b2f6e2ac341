import * as http from 'node:http';

/**
 * A request of a caller, after which Node.js parses no more once its connection is closed: the rest of the bytes that
 * arrived with it would otherwise become requests, by the thousand, which are kept until the socket reports its end.
 */
export class CallerRequest extends http.IncomingMessage {
  private asksUpgrade = false;

  /** Whether the request asks for another protocol. Node.js leaves the bytes that follow such a request unparsed. */
  public get upgrade(): boolean {
    return this.asksUpgrade || this.socket.destroyed;
  }

  public set upgrade(asksUpgrade: boolean) {
    this.asksUpgrade = asksUpgrade;
  }
}

// Nothing uses the trailers of callers, which Node.js keeps until the request is answered.
Object.defineProperty(CallerRequest.prototype, 'rawTrailers', { get: () => [], set: () => {} });
