import type * as stream from 'node:stream';

/** Response to a caller, as far as its held bytes are concerned. */
export interface CallerResponse {
  readonly writableLength: number;
  readonly writableFinished: boolean;
  readonly destroyed: boolean;
  once(event: 'close', listener: () => void): unknown;
}

/** Response body of an upstream, as far as its held bytes are concerned. */
export type UpstreamBody = Pick<stream.Readable, 'readableLength'>;

/** The bytes that a host holds for one call. */
export class HeldCall {
  private requestBytes = 0;
  private answerBytes = 0;
  private upstreamBody: UpstreamBody | undefined;

  public constructor(private readonly res: CallerResponse) {}

  /** Adds bytes of the request body that have been read. */
  public addRequest(bytes: number): void {
    this.requestBytes += bytes;
  }

  /** Starts counting an answer, instead of that of an earlier attempt. */
  public beginAnswer(body: UpstreamBody): void {
    this.answerBytes = 0;
    this.upstreamBody = body;
  }

  /** Adds bytes of the answer that have been read and are not yet passed to the caller's response. */
  public addAnswer(bytes: number): void {
    this.answerBytes += bytes;
  }

  /** Ends the count of the answer's read bytes, which the caller's response counts from now on. */
  public passAnswer(): void {
    this.answerBytes = 0;
  }

  /** Ends the count of everything but the bytes that the caller's socket has not taken yet. */
  public finish(): void {
    this.requestBytes = 0;
    this.answerBytes = 0;
    this.upstreamBody = undefined;
  }

  /** Returns the number of bytes held now. */
  public getBytes(): number {
    const unread = this.upstreamBody?.readableLength ?? 0;
    // A destroyed response still reports the bytes that it never wrote, although they are released.
    const unsent = this.res.destroyed ? 0 : this.res.writableLength;
    return this.requestBytes + this.answerBytes + unread + unsent;
  }
}

/** Counts the bytes that a host holds for slow callers and slow upstreams, over all calls. */
export class HeldBytes {
  private readonly calls = new Set<HeldCall>();

  /** `findLimit` returns the limit in bytes; `undefined` if there is none. */
  public constructor(private readonly findLimit: () => number | undefined) {}

  /** Starts counting a call. */
  public begin(res: CallerResponse): HeldCall {
    const call = new HeldCall(res);
    this.calls.add(call);
    return call;
  }

  /** Ends the count of a call that needs its bodies no longer, once its response is sent or closed. */
  public end(call: HeldCall, res: CallerResponse): void {
    call.finish();
    const remove = () => this.calls.delete(call);
    if (res.writableFinished || res.destroyed) {
      remove();
    } else {
      res.once('close', remove);
    }
  }

  /** Returns the number of bytes held now. */
  public getBytes(): number {
    let bytes = 0;
    for (const call of this.calls) {
      bytes += call.getBytes();
    }
    return bytes;
  }

  /** Whether the held bytes exceed the limit, so that no new call may be accepted. */
  public isFull(): boolean {
    const limit = this.findLimit();
    return limit !== undefined && this.getBytes() > limit;
  }
}
