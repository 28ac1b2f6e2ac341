/** Bytes that TLS adds to each record. */
const TLS_RECORD_BYTES = 29;

/** Bytes that TCP and IP add to each packet. */
const TCP_IP_BYTES = 52;

/** What went over links, as it is on the wire: frames with what carries them. */
export class LinkCounts {
  public bytesOut = 0;
  public bytesIn = 0;
  public messages = 0;

  /** Notes a message that was sent. */
  public noteOut(bytes: number): void {
    this.messages += 1;
    this.bytesOut += bytes + TLS_RECORD_BYTES + TCP_IP_BYTES;
  }

  /** Notes a message that arrived. */
  public noteIn(bytes: number): void {
    this.messages += 1;
    this.bytesIn += bytes + TLS_RECORD_BYTES + TCP_IP_BYTES;
  }

  /** Adds other counts to these. */
  public add(other: LinkCounts): void {
    this.bytesIn += other.bytesIn;
    this.bytesOut += other.bytesOut;
    this.messages += other.messages;
  }
}
