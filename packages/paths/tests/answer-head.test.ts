import type * as net from 'node:net';

import * as fakes from '@bramleyridge/fakes';
import * as tap from 'tap';
import * as undici from 'undici';

import * as paths from '../src/index.js';

/** Time limit of a request, in milliseconds. */
const LIMIT_MS = 2_000;

/** Marks, letters and digits, of which the protocol lets names consist. */
const NAME_CHARACTERS =
  "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

/** Every byte as a character. */
const BYTES = Array.from({ length: 256 }, (_, byte) => String.fromCharCode(byte));

function createRaw(...texts: string[]): Buffer[] {
  return texts.map((text) => Buffer.from(text, 'latin1'));
}

function isAllowed(check: () => void): boolean {
  try {
    check();
    return true;
  } catch (err) {
    if (err instanceof paths.WrongHeadError) {
      return false;
    }
    throw err;
  }
}

// Guards against a status that is none and reaches a caller, whatever the parser of the HTTP library passes on.
void tap.default.test('statuses of answers', async (t) => {
  const allowed = Array.from({ length: 3_000 }, (_, status) => status).filter((status) =>
    isAllowed(() => paths.checkHead(status, [])),
  );
  const expected = Array.from({ length: 500 }, (_, i) => 100 + i).filter((item) => item !== 101);
  t.same(allowed, expected);
  for (const status of [-200, 200.5, Number.NaN, Number.POSITIVE_INFINITY]) {
    t.notOk(
      isAllowed(() => paths.checkHead(status, [])),
      String(status),
    );
  }
});

// Guards against names and values that a lenient parser passes on, at any place in them.
void tap.default.test('names and values of headers', async (t) => {
  const places = [
    (byte: string) => byte,
    (byte: string) => `${byte}a`,
    (byte: string) => `a${byte}`,
  ];
  for (const place of places) {
    const names = BYTES.filter((byte) =>
      isAllowed(() => paths.checkHead(200, createRaw('a', 'b', place(byte), 'v'))),
    );
    t.same(names.sort(), [...NAME_CHARACTERS].sort(), 'names');
    const values = BYTES.filter((byte) =>
      isAllowed(() => paths.checkHead(200, createRaw('x', place(byte), 'a', 'b'))),
    );
    t.same(
      values,
      BYTES.filter((byte) => byte === '\t' || (byte >= ' ' && byte !== '\x7f')),
      'values',
    );
  }
  const wrong = [
    ['', 'v'],
    ['x'],
    ['x', 'a\r\n b'],
    ['transfer-encoding ', 'chunked'],
    [' x', 'v'],
  ];
  for (const headers of wrong) {
    t.notOk(
      isAllowed(() => paths.checkHead(200, createRaw(...headers))),
      JSON.stringify(headers),
    );
    t.notOk(
      isAllowed(() => paths.checkHead(103, headers)),
      `as texts: ${JSON.stringify(headers)}`,
    );
  }
  t.ok(isAllowed(() => paths.checkHead(200, createRaw('x', ''))));
});

// Guards against a body whose end an upstream and this host see differently.
void tap.default.test('headers that state where a body ends', async (t) => {
  const cases: { headers: string[]; expected: boolean }[] = [
    { headers: ['Content-Length', ' 5 '], expected: true },
    { headers: ['Transfer-Encoding', 'Chunked'], expected: true },
    { headers: ['Transfer-Encoding', 'gzip', 'Transfer-Encoding', 'chunked'], expected: false },
    { headers: ['content-length', '5', 'content-length', '5'], expected: false },
    { headers: ['content-length', '5', 'Content-Length', '6'], expected: false },
    { headers: ['content-length', '5, 5'], expected: false },
    { headers: ['content-length', '+5'], expected: false },
    { headers: ['content-length', ''], expected: false },
    { headers: ['content-length', '0x5'], expected: false },
    { headers: ['content-length', '5', 'x', 'y', 'TRANSFER-ENCODING', 'chunked'], expected: false },
  ];
  for (const { expected, headers } of cases) {
    const seen = isAllowed(() => paths.checkHead(200, createRaw(...headers)));
    t.equal(seen, expected, JSON.stringify(headers));
  }
});

// Guards against wrong heads and trailers that reach whoever has made the call, before they are checked.
void tap.default.test('a handler gets only what is allowed', async (t) => {
  const seen: string[] = [];
  let closed = 0;
  const handler = paths.checkAnswer(
    {
      onHeaders: (status) => {
        seen.push(`head ${status}`);
        return false;
      },
      onComplete: () => seen.push('end'),
    },
    () => {
      closed += 1;
    },
  );
  const onHead = (status: number, headers: Buffer[]) =>
    handler.onHeaders?.(status, headers, () => {}, '');
  t.throws(() => onHead(600, []), { name: 'WrongHeadError' });
  t.throws(() => onHead(200, createRaw('a b', 'c')), { name: 'WrongHeadError' });
  t.equal(onHead(200, createRaw('a', 'b')), false, 'the handler may pause the answer');
  t.equal(closed, 0);
  t.throws(() => handler.onComplete?.(['a', 'b\0']), { name: 'WrongHeadError' });
  t.equal(closed, 1, 'after a wrong trailer the connection is closed');
  handler.onComplete?.(['a', 'b']);
  handler.onComplete?.(null);
  t.same(seen, ['head 200', 'end', 'end']);
});

interface Sent {
  readonly answer: fakes.UnusualAnswer;
  readonly number: number;
}

// Guards against a wrong answer that fails other calls, or after which its connection serves another one.
void tap.default.test('a wrong answer ends its call and its connection only', async (t) => {
  const sent: Sent[] = [];
  const upstream = new fakes.ShortAnswerUpstream(({ number, path }) => {
    const name = decodeURIComponent(path.slice(1));
    const answer = fakes.WRONG_ANSWERS[name] ?? fakes.RIGHT_ANSWERS[name] ?? {};
    sent.push({ answer, number });
    return { bytes: fakes.frameUnusualAnswer(answer, {}, ['text']) };
  });
  const origin = `http://${await upstream.listen()}`;
  const client = new paths.BoundedClient(origin, {});
  t.teardown(async () => {
    upstream.close();
    await client.destroy();
  });
  const call = async (name: string): Promise<string> => {
    const signal = AbortSignal.timeout(LIMIT_MS);
    const path = `/${encodeURIComponent(name)}`;
    const res = await client.request({ method: 'GET', path, signal });
    return res.body.text();
  };
  for (const name of Object.keys(fakes.WRONG_ANSWERS)) {
    const calls = ['before', name, 'after', 'after it'].map(call);
    const results = await Promise.allSettled(calls);
    t.same(
      results.map(({ status }) => status),
      ['fulfilled', 'rejected', 'fulfilled', 'fulfilled'],
      name,
    );
  }
  const wrong = sent.findIndex(({ answer }) => Object.keys(answer).length > 0);
  t.ok(wrong >= 0 && sent[wrong + 1]!.number === 1, 'the next call has a new connection');
  const isReused = sent.every(
    ({ answer }, i) => Object.keys(answer).length === 0 || sent[i + 1]?.number === 1,
  );
  t.ok(isReused, 'each call after a wrong answer has a new connection');
  for (const name of Object.keys(fakes.RIGHT_ANSWERS)) {
    t.equal(await call(name), 'text', name);
  }
});

/** Switches of the HTTP library's parser, each of which lets it pass on more. */
const LENIENCIES = [
  'headers',
  'chunked_length',
  'transfer_encoding',
  'version',
  'data_after_close',
  'optional_lf_after_cr',
  'optional_cr_before_lf',
  'optional_crlf_after_chunk',
  'spaces_after_chunk_size',
];

/** What can't be seen behind a lenient parser: the version, and folded lines, which it joins with a blank. */
const UNSEEN = [
  'another version',
  'a folded line, first',
  'a folded line, last',
  'a folded line, in a trailer',
  'a folded line, in the last trailer',
];

/** The HTTP library's parser of a connection, as far as it is used here. */
interface Parser {
  readonly ptr: number;
  readonly llhttp: Readonly<Record<string, (ptr: number, isOn: number) => void>>;
}

function makeLenient(socket: net.Socket): void {
  const key = Object.getOwnPropertySymbols(socket).find((item) => item.description === 'parser')!;
  const { llhttp, ptr } = (socket as unknown as Record<symbol, Parser>)[key]!;
  LENIENCIES.forEach((name) => llhttp[`llhttp_set_lenient_${name}`]!(ptr, 1));
}

// Guards against wrong heads and trailers that are stopped by the parser of one version of the HTTP library only.
void tap.default.test('wrong answers behind a lenient parser', async (t) => {
  let answer: fakes.UnusualAnswer = {};
  const upstream = new fakes.ShortAnswerUpstream(() => ({
    bytes: fakes.frameUnusualAnswer(answer, {}, ['text']),
  }));
  const origin = `http://${await upstream.listen()}`;
  t.teardown(() => upstream.close());
  const call = async (createClient: (options: undici.Client.Options) => undici.Client) => {
    const connector = undici.buildConnector({});
    const sockets: net.Socket[] = [];
    const client = createClient({
      connect: (options, callback) =>
        connector(options, (...result) => {
          sockets.push(result[1]!);
          callback(...result);
        }),
    });
    client.on('connect', () => makeLenient(sockets.at(-1)!));
    try {
      const signal = AbortSignal.timeout(LIMIT_MS);
      const res = await client.request({ method: 'GET', path: '/', signal });
      return await res.body.text();
    } catch {
      return undefined;
    } finally {
      await client.destroy();
    }
  };
  const passedOn: string[] = [];
  const passedOnUnchecked: string[] = [];
  for (const [name, wrong] of Object.entries(fakes.WRONG_ANSWERS)) {
    answer = wrong;
    if ((await call((options) => new undici.Client(origin, options))) !== undefined) {
      passedOnUnchecked.push(name);
    }
    if ((await call((options) => new paths.BoundedClient(origin, options))) !== undefined) {
      passedOn.push(name);
    }
  }
  t.same(passedOn, UNSEEN);
  t.ok(passedOnUnchecked.length > UNSEEN.length, `${passedOnUnchecked.length} without the check`);
  t.comment(`${passedOnUnchecked.length} pass the parser`);
  for (const [name, right] of Object.entries(fakes.RIGHT_ANSWERS)) {
    answer = right;
    t.equal(await call((options) => new paths.BoundedClient(origin, options)), 'text', name);
  }
});

// Guards against paths and relays that count as cut off because an upstream in trouble answers probes with a wrong head.
void tap.default.test('a wrong answer to a probe shows that the path is open', async (t) => {
  let answer: fakes.UnusualAnswer = {};
  const upstream = new fakes.ShortAnswerUpstream(() => ({
    bytes: fakes.frameUnusualAnswer(answer, {}, ['text']),
  }));
  const address = await upstream.listen();
  t.teardown(() => upstream.close());
  const dialer = new paths.TcpDialer();
  const probe = { method: 'GET', path: '/health' } as const;
  const isAnswered = () =>
    paths.isAnswered(address, probe, () => dialer.dial(address, LIMIT_MS), LIMIT_MS);
  for (const [name, wrong] of Object.entries(fakes.WRONG_ANSWERS)) {
    answer = wrong;
    t.ok(await isAnswered(), name);
  }
  upstream.close();
  t.notOk(await isAnswered(), 'an address that refuses connections');
});
