import type * as requests from '@bramleyridge/requests';

interface ChunkChoice {
  readonly text?: string;
  readonly delta?: { readonly content?: string };
  readonly finish_reason?: string | null;
}

interface Chunk {
  readonly created: number;
  readonly model: string;
  readonly choices: readonly ChunkChoice[];
}

/**
 * Collects the events of a generation into one response for a caller that did not ask for a stream.
 */
export class CompletionCollector {
  private readonly received: Buffer[] = [];

  public constructor(
    private readonly generation: string,
    private readonly isChat: boolean,
    private readonly promptTokens: number,
  ) {}

  /** Appends received events. */
  public add(bytes: Buffer): void {
    this.received.push(bytes);
  }

  /** Creates the response body in the OpenAI format. */
  public createResponse(end: requests.RelayEnd): object {
    const chunks = this.listChunks();
    const content = chunks.map((chunk) => getContent(chunk.choices[0])).join('');
    const finish = chunks.at(-1)?.choices[0]?.finish_reason ?? 'stop';
    const tokens = Math.max(0, end.next - 1);
    const choice = this.isChat
      ? { index: 0, message: { role: 'assistant', content }, finish_reason: finish }
      : { index: 0, text: content, finish_reason: finish };
    return {
      id: this.generation,
      object: this.isChat ? 'chat.completion' : 'text_completion',
      created: chunks[0]?.created ?? 0,
      model: chunks[0]?.model ?? '',
      choices: [choice],
      usage: {
        prompt_tokens: this.promptTokens,
        completion_tokens: tokens,
        total_tokens: this.promptTokens + tokens,
      },
    };
  }

  private listChunks(): Chunk[] {
    return Buffer.concat(this.received)
      .toString('utf8')
      .split('\n\n')
      .map((event) => event.slice(event.indexOf('data: ') + 'data: '.length))
      .filter((data) => data.startsWith('{'))
      .map((data) => JSON.parse(data) as Chunk);
  }
}

function getContent(choice: ChunkChoice | undefined): string {
  return choice?.text ?? choice?.delta?.content ?? '';
}
