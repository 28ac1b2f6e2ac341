/** Overhead of a TLS record. */
const TLS_RECORD_BYTES = 29;

/** Overhead of the TCP and IP headers of a packet. */
const TCP_IP_BYTES = 52;

/** Traffic counters. Bytes are estimates of the size on the wire: frames plus the overhead of TLS, TCP and IP. */
export class LinkCounts {
  public bytesOut = 0;
  public bytesIn = 0;
  public messages = 0;

  /** Counts a sent message. */
  public recordSent(bytes: number): void {
    this.messages += 1;
    this.bytesOut += bytes + TLS_RECORD_BYTES + TCP_IP_BYTES;
  }

  /** Counts the bytes of one read from a socket as a message. */
  public recordReceived(bytes: number): void {
    this.messages += 1;
    this.bytesIn += bytes + TLS_RECORD_BYTES + TCP_IP_BYTES;
  }

  /** Adds the totals of other counters to these. */
  public add(other: LinkCounts): void {
    this.bytesIn += other.bytesIn;
    this.bytesOut += other.bytesOut;
    this.messages += other.messages;
  }
}
