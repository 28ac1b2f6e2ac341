/** Prompt tokens that an engine is taken to read in a millisecond before any was seen: a chunk of 112 every 16 ms. */
const FIRST_GUESS_PER_MS = 7;

/** How much one prompt's reading counts in the speed that is expected of the next ones. */
const LEARNING_RATE = 0.1;

/** Between which speeds a reading is believed, in tokens a millisecond; beyond them the first event was late to be told. */
const LEAST_PER_MS = 1;
const MOST_PER_MS = 50;

/** How many times the expected reading a prompt counts on as unread when nobody tells that its answer has begun. */
const UNTOLD_FACTOR = 4;

/** How fast engines of one pool read prompts, learned from the prompts' first events. */
export class PrefillRate {
  private perMs = FIRST_GUESS_PER_MS;

  /** Takes a prompt that was read in so many milliseconds. */
  public observe(tokens: number, ms: number): void {
    const seen = tokens / Math.max(1, ms);
    if (seen >= LEAST_PER_MS && seen <= MOST_PER_MS) {
      this.perMs += (seen - this.perMs) * LEARNING_RATE;
    }
  }

  /** How long reading so many tokens takes, in milliseconds. */
  public getMs(tokens: number): number {
    return tokens / this.perMs;
  }
}

interface Unread {
  readonly tokens: number;
}

/**
 * The prompts that were placed on one engine and of which no event was seen yet. The engine reads them one after the
 * other, so their sum says how long the next one waits; where it is long, the next one's first event is late there.
 */
export class PrefillBacklog {
  private readonly unread = new Map<string, Unread>();
  /** The tokens of all of them. */
  private unreadTokens = 0;
  /** Since when the prompt that came first is being read. */
  private headSince = 0;

  public constructor(private readonly speed: PrefillRate) {}

  /** Notes a prompt that was sent there. */
  public add(callId: string, tokens: number, now: number): void {
    if (this.unread.size === 0) {
      this.headSince = now;
    }
    this.unreadTokens += tokens - (this.unread.get(callId)?.tokens ?? 0);
    this.unread.set(callId, { tokens });
  }

  /** Notes that a prompt was read, since its answer has begun; how long that took tells the engine's speed. */
  public recordFirstEvent(callId: string, now: number): void {
    const prompt = this.unread.get(callId);
    if (prompt === undefined) {
      return;
    }
    if (this.isHead(callId)) {
      this.speed.observe(prompt.tokens, now - this.headSince);
    }
    this.remove(callId, now);
  }

  /** Takes a prompt off, whatever became of it. */
  public remove(callId: string, now: number): void {
    const prompt = this.unread.get(callId);
    if (prompt === undefined) {
      return;
    }
    // What was placed before it and is not told to have begun has been passed, or will be told in a moment.
    this.headSince = this.isHead(callId) ? now : this.headSince;
    this.unread.delete(callId);
    this.unreadTokens -= prompt.tokens;
  }

  /** How long a prompt that comes now waits until it is read, in milliseconds. */
  public getMs(now: number): number {
    if (this.unread.size === 0) {
      return 0;
    }
    this.dropUntold(now);
    const [head] = this.unread.values();
    if (head === undefined) {
      return 0;
    }
    const headMs = this.speed.getMs(head.tokens);
    return this.speed.getMs(this.unreadTokens) - Math.min(headMs, now - this.headSince);
  }

  private isHead(callId: string): boolean {
    const [head] = this.unread.keys();
    return head === callId;
  }

  /** A host that died or was cut off tells nothing; its prompts must not bar an engine. */
  private dropUntold(now: number): void {
    const [entry] = this.unread.entries();
    if (entry === undefined) {
      return;
    }
    const [callId, { tokens }] = entry;
    if (now - this.headSince > this.speed.getMs(tokens) * UNTOLD_FACTOR) {
      this.remove(callId, now);
    }
  }
}
