import * as texts from './token-text.js';

/** What the stream's objects are called. */
export type StreamObject = 'text_completion' | 'chat.completion';

/** The parts of a completion's body that the fake looks at. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: unknown }[];
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly prefix_id?: string;
  readonly fake_output_tokens?: number;
}

/** The prompt of either kind of body. */
export function getPrompt(body: CompletionBody): string {
  return body.prompt ?? (body.messages ?? []).map((item) => String(item.content)).join('\n');
}

/** A generation in the fake: its tokens so far, for every connection that follows it. */
export class FakeGeneration {
  public tokens = 0;
  public ending: 'stop' | 'cancelled' | undefined;
  private readonly followers = new Set<() => void>();
  private readonly createdS = Math.floor(Date.now() / 1_000);

  public constructor(
    public readonly id: string,
    private readonly model: string,
    private readonly object: StreamObject,
    public readonly outputTokens: number,
  ) {}

  /** Produces the next token. */
  public produce(): void {
    this.tokens += 1;
    this.followers.forEach((follower) => follower());
  }

  /** Ends it. */
  public end(ending: 'stop' | 'cancelled'): void {
    this.ending ??= ending;
    this.followers.forEach((follower) => follower());
  }

  /** Writes the events from an offset on, as they come, until the end; gives a way to stop. */
  public follow(from: number, write: (text: string) => void, close: () => void): () => void {
    let next = from;
    const send = () => {
      let text = '';
      while (next < this.tokens) {
        text += this.createEvent(next);
        next += 1;
      }
      const isOver = this.ending !== undefined && next >= this.tokens;
      if (isOver && this.ending === 'stop') {
        text += next === this.tokens ? this.createEvent(next) : '';
        text += 'data: [DONE]\n\n';
      }
      if (isOver && this.ending === 'cancelled') {
        text += 'data: {"error":{"message":"cancelled","code":"cancelled"}}\n\n';
      }
      if (text !== '') {
        write(text);
      }
      if (isOver) {
        this.followers.delete(send);
        close();
      }
    };
    this.followers.add(send);
    send();
    return () => this.followers.delete(send);
  }

  private createEvent(offset: number): string {
    const isLast = offset >= this.outputTokens;
    const content = isLast ? '' : texts.getTokenText(this.id, offset);
    const choice =
      this.object === 'text_completion'
        ? { index: 0, text: content, finish_reason: isLast ? 'stop' : null }
        : { index: 0, delta: isLast ? {} : { content }, finish_reason: isLast ? 'stop' : null };
    const object = this.object === 'text_completion' ? this.object : `${this.object}.chunk`;
    const data = {
      id: this.id,
      object,
      created: this.createdS,
      model: this.model,
      choices: [choice],
    };
    return `id: ${this.id}:${offset}\ndata: ${JSON.stringify(data)}\n\n`;
  }
}
