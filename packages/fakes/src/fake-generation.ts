import * as texts from './token-text.js';

/** Value of the `object` field of a stream's chunks, without the `.chunk` suffix. */
export type StreamObject = 'text_completion' | 'chat.completion';

/** The fields of a completion request that the fake engine reads. */
export interface CompletionBody {
  readonly model: string;
  readonly prompt?: string;
  readonly messages?: readonly { readonly content: unknown }[];
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly prefix_id?: string;
  readonly fake_output_tokens?: number;
}

/** Returns the prompt of a text or chat completion request. */
export function getPrompt(body: CompletionBody): string {
  return body.prompt ?? (body.messages ?? []).map((item) => String(item.content)).join('\n');
}

/** A generation of the fake engine, streamed to any number of connections. */
export class FakeGeneration {
  public tokens = 0;
  public ending: 'stop' | 'cancelled' | undefined;
  private readonly subscribers = new Set<() => void>();
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
    this.subscribers.forEach((notify) => notify());
  }

  /** Ends the generation; only the first call sets the ending. */
  public end(ending: 'stop' | 'cancelled'): void {
    this.ending ??= ending;
    this.subscribers.forEach((notify) => notify());
  }

  /** Writes the events from an offset on as they are produced, until the end; returns a function that stops it. */
  public subscribe(from: number, write: (text: string) => void, close: () => void): () => void {
    let next = from;
    const send = () => {
      let text = '';
      while (next < this.tokens) {
        text += this.createEvent(next);
        next += 1;
      }
      const hasEnded = this.ending !== undefined && next >= this.tokens;
      if (hasEnded && this.ending === 'stop') {
        text += next === this.tokens ? this.createEvent(next) : '';
        text += 'data: [DONE]\n\n';
      }
      if (hasEnded && this.ending === 'cancelled') {
        text += 'data: {"error":{"message":"cancelled","code":"cancelled"}}\n\n';
      }
      if (text !== '') {
        write(text);
      }
      if (hasEnded) {
        this.subscribers.delete(send);
        close();
      }
    };
    this.subscribers.add(send);
    send();
    return () => this.subscribers.delete(send);
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
