import * as requestEnds from './request-end.js';

/** How much of a peer's last request has passed through a tunnel, and whether it was before its answer ended. */
export class RelayedRequest {
  private bytes = 0;
  private isAnswered = false;
  private hasAnswerEnded = false;
  private hasUnsentBytes = false;

  /** Notes bytes of the peer. */
  public addBytes(count: number): void {
    // The rest of a large request that is answered early must not count as a new one.
    if (this.isAnswered && !this.isLarge()) {
      this.bytes = 0;
    }
    this.isAnswered = false;
    this.bytes += count;
    this.hasUnsentBytes ||= this.hasAnswerEnded;
  }

  /** Notes bytes of the upstream. */
  public noteAnswer(): void {
    this.isAnswered = true;
  }

  /** Notes the end of the upstream's bytes; `unsentBytes` of the peer's bytes are still to be sent then. */
  public noteAnswerEnd(unsentBytes: number): void {
    this.hasAnswerEnded = true;
    this.hasUnsentBytes = unsentBytes > 0;
  }

  /** Returns whether the upstream may have answered without reading the request. */
  public isLarge(): boolean {
    return this.bytes > requestEnds.LARGE_REQUEST_BYTES;
  }

  /** Returns whether a part of the request was still to be sent when the upstream's bytes ended. */
  public wasUnsent(): boolean {
    return this.hasUnsentBytes;
  }
}
