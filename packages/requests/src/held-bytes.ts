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

/** Share of the limit that request bodies may take, so that there is room for answers. */
const BODY_SHARE = 0.75;

/** Size from which an unfinished body is given up for others, in bytes. */
const MIN_SHED_BYTES = 16 * 1_024;

/** The bytes that a host holds for one call. */
export class HeldCall {
  private requestBytes = 0;
  private answerBytes = 0;
  private upstreamBody: UpstreamBody | undefined;
  private shed: (() => void) | undefined;

  public constructor(
    private readonly res: CallerResponse,
    private readonly onRequestBytes: (bytes: number) => void = () => {},
  ) {}

  /** Adds bytes of the request body that have been read. */
  public addRequest(bytes: number): void {
    this.requestBytes += bytes;
    this.onRequestBytes(bytes);
  }

  /** Starts a request body that can be given up by `shed` until it is complete. */
  public beginBody(shed: () => void): void {
    this.shed = shed;
  }

  /** Ends the time in which the request body can be given up. */
  public endBody(): void {
    this.shed = undefined;
  }

  /** Returns the bytes that giving up the request body would release. */
  public getSheddableBytes(): number {
    return this.shed === undefined ? 0 : this.requestBytes;
  }

  /** Gives up the request body. */
  public giveUpBody(): void {
    const { shed } = this;
    this.endBody();
    this.releaseRequest();
    shed?.();
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
    this.endBody();
    this.releaseRequest();
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

  private releaseRequest(): void {
    const bytes = this.requestBytes;
    this.requestBytes = 0;
    this.onRequestBytes(-bytes);
  }
}

/** Counts the bytes that a host holds for slow callers and slow upstreams, over all calls. */
export class HeldBytes {
  private readonly calls = new Set<HeldCall>();
  /** Bytes of request bodies, over all calls. */
  private requestBytes = 0;

  /** `findLimit` returns the limit in bytes; `undefined` if there is none. */
  public constructor(private readonly findLimit: () => number | undefined) {}

  /** Starts counting a call. */
  public begin(res: CallerResponse): HeldCall {
    const call = new HeldCall(res, (bytes) => this.addRequest(bytes));
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

  /** Adds bytes of a request body; while there are too many, gives up the largest unfinished body. */
  private addRequest(bytes: number): void {
    this.requestBytes += bytes;
    const limit = this.findLimit();
    if (bytes <= 0 || limit === undefined) {
      return;
    }
    while (this.requestBytes > limit * BODY_SHARE) {
      const largest = this.findLargestUnfinished();
      if (largest === undefined) {
        return;
      }
      largest.giveUpBody();
    }
  }

  private findLargestUnfinished(): HeldCall | undefined {
    let largest: HeldCall | undefined;
    let bytes = MIN_SHED_BYTES;
    for (const call of this.calls) {
      if (call.getSheddableBytes() > bytes) {
        bytes = call.getSheddableBytes();
        largest = call;
      }
    }
    return largest;
  }
}
