import * as net from 'node:net';

import type * as fakes from '@bramleyridge/fakes';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Relays connections to an engine, and makes some of its answers unusual. */
export class RewritingRelay {
  /** Number of answers that were rewritten. */
  public rewritten = 0;
  private readonly sockets = new Set<net.Socket>();
  /** The answers of generations whose calls are known, by the identifiers of the generations. */
  private readonly generations = new Map<string, fakes.UnusualAnswer>();
  private readonly server = net.createServer({ noDelay: true }, (near) => this.relay(near));

  public constructor(
    private readonly port: number,
    /** Returns what the answer to a call is, and whether answers that go on with its generation are so too. */
    private readonly find: (
      call: string,
    ) => { readonly answer: fakes.UnusualAnswer; readonly isKept: boolean } | undefined,
  ) {}

  /** Starts to listen and returns the address. */
  public async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  /** Closes every connection. */
  public close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private relay(near: net.Socket): void {
    const far = net.connect({ port: this.port, host: '127.0.0.1', noDelay: true });
    let answer: fakes.UnusualAnswer | undefined;
    let head: string | undefined;
    [near, far].forEach((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
    });
    near.on('close', () => far.destroy());
    far.on('close', () => near.destroySoon());
    near.on('data', (bytes: Buffer) => {
      const found = this.findAnswer(bytes.toString('latin1'));
      if (found !== undefined) {
        answer = found;
        head = '';
        this.rewritten += 1;
      }
      far.write(bytes);
    });
    far.on('data', (bytes: Buffer) => {
      let text = bytes.toString('latin1');
      if (head !== undefined && answer !== undefined) {
        head += text;
        if (!head.includes(HEAD_END)) {
          return;
        }
        text = rewriteHead(head, answer);
        head = undefined;
      }
      near.write(Buffer.from(rewriteEnd(text, answer), 'latin1'));
    });
  }

  private findAnswer(call: string): fakes.UnusualAnswer | undefined {
    const resumed = /^GET \/v1\/generations\/([^/]+)\/events/.exec(call)?.[1];
    if (resumed !== undefined) {
      return this.generations.get(resumed);
    }
    const found = this.find(call);
    const generation = /^x-request-id: *(\S+)/im.exec(call)?.[1];
    if (found?.isKept === true && generation !== undefined) {
      this.generations.set(generation, found.answer);
    }
    return found?.answer;
  }
}

function rewriteHead(
  text: string,
  { before = '', first, last, statusLine }: fakes.UnusualAnswer,
): string {
  const at = text.indexOf(HEAD_END);
  const [status, ...lines] = text.slice(0, at).split('\r\n');
  const firstLines = first === undefined ? [] : [first];
  const lastLines = last === undefined ? [] : [last];
  const head = [statusLine ?? status, ...firstLines, ...lines, ...lastLines].join('\r\n');
  return before + head + text.slice(at);
}

function rewriteEnd(text: string, answer: fakes.UnusualAnswer | undefined): string {
  return answer?.trailers !== undefined && text.endsWith(LAST_CHUNK)
    ? `${text.slice(0, -LAST_CHUNK.length)}0\r\n${answer.trailers.join('\r\n')}${HEAD_END}`
    : text;
}
