/** An answer that differs from a right one in one thing; its texts have one character for each byte. */
export interface UnusualAnswer {
  readonly framing?: 'length' | 'chunked';
  readonly statusLine?: string;
  /** Bytes before the head. */
  readonly before?: string;
  /** The first and the last lines of the head. */
  readonly first?: string;
  readonly last?: string;
  /** The lines after the last chunk. */
  readonly trailers?: readonly string[];
}

/** Lines that are no header, in a head or in trailers. */
const WRONG_LINES: Readonly<Record<string, string>> = {
  'a blank in a name': 'x name: v',
  'a blank after a name': 'x-name : v',
  'a tab in a name': 'x\tname: v',
  'a tab after a name': 'x-name\t: v',
  'a control byte in a name': 'x-\x01name: v',
  'a NUL in a name': 'x-\0name: v',
  'a DEL in a name': 'x-\x7fname: v',
  'a byte over 127 in a name': 'x-n\xe4me: v',
  'no name': ': v',
  'no colon': 'x-name',
  'a parenthesis in a name': 'x(name): v',
  'a slash in a name': 'x/name: v',
  'a quote in a name': 'x"name: v',
  'an at sign in a name': 'x@name: v',
  'a folded line': 'x-name: a\r\n b',
  'a CR in a name': 'x-\rname: v',
  'a CR in a value': 'x-name: a\rb',
  'a control byte in a value': 'x-name: a\x01b',
  'a NUL in a value': 'x-name: a\0b',
  'a DEL in a value': 'x-name: a\x7fb',
};

/** Status lines of no answer. */
const WRONG_STATUS_LINES: Readonly<Record<string, string>> = {
  'status 000': 'HTTP/1.1 000 OK',
  'status 001': 'HTTP/1.1 001 OK',
  'status 099': 'HTTP/1.1 099 OK',
  'status 101': 'HTTP/1.1 101 Switching Protocols',
  'status 600': 'HTTP/1.1 600 OK',
  'status 700': 'HTTP/1.1 700 OK',
  'status 999': 'HTTP/1.1 999 OK',
  'two digits': 'HTTP/1.1 20 OK',
  'four digits': 'HTTP/1.1 2000 OK',
  'a plus sign': 'HTTP/1.1 +200 OK',
  'a minus sign': 'HTTP/1.1 -200 OK',
  'a letter in a status': 'HTTP/1.1 2x0 OK',
  'no status': 'HTTP/1.1  OK',
  'another version': 'HTTP/9.9 200 OK',
};

/** Lines that contradict the framing of an answer with a length. */
const WRONG_FRAMING_LINES: Readonly<Record<string, string>> = {
  'another length': 'content-length: 1',
  'a length with a sign': 'content-length: +1',
  'a blank after the name of the length': 'content-length : 1',
  'chunks beside a length': 'transfer-encoding: chunked',
  'chunks with a blank after the name': 'transfer-encoding : chunked',
  'chunks with a control byte in the name': 'transfer-encoding\x0b: chunked',
};

/** Wrong lines of informational heads before a right one. */
const INFORMATIONAL_LINES = ['a blank in a name', 'a NUL in a name', 'a DEL in a value'];

/** Answers that are none in the protocol, by name. */
export const WRONG_ANSWERS: Readonly<Record<string, UnusualAnswer>> =
  Object.fromEntries<UnusualAnswer>([
    ...Object.entries(WRONG_STATUS_LINES).map(([name, statusLine]) => pair(name, { statusLine })),
    pair('an answer after status 101', { before: 'HTTP/1.1 101 Switching Protocols\r\n\r\n' }),
    ...INFORMATIONAL_LINES.map((name) =>
      pair(`${name}, before the head`, {
        before: `HTTP/1.1 103 Early Hints\r\n${WRONG_LINES[name]}\r\n\r\n`,
      }),
    ),
    ...Object.entries({ ...WRONG_LINES, ...WRONG_FRAMING_LINES }).flatMap(([name, line]) => [
      pair(`${name}, first`, { first: line }),
      pair(`${name}, last`, { last: line }),
    ]),
    pair('a length beside chunks, first', { framing: 'chunked', first: 'content-length: 1' }),
    pair('a length beside chunks, last', { framing: 'chunked', last: 'content-length: 1' }),
    ...Object.entries(WRONG_LINES).flatMap(([name, line]) => [
      pair(`${name}, in a trailer`, { framing: 'chunked', trailers: [line] }),
      pair(`${name}, in the last trailer`, { framing: 'chunked', trailers: ['x-sum: 1', line] }),
    ]),
  ]);

/** A value of each kind that a header may have. */
const RIGHT_LINES = ['x-empty:', 'x-high: caf\xc3\xa9 \xff', 'x-tab: a\tb'];

/** Unusual answers that the protocol allows, by name. */
export const RIGHT_ANSWERS: Readonly<Record<string, UnusualAnswer>> = {
  'all marks in a name': { first: "x!#$%&'*+-.^_`|~1A: v" },
  'unusual values': { last: RIGHT_LINES.join('\r\n') },
  'unusual values in trailers': { framing: 'chunked', trailers: RIGHT_LINES },
  'the highest status': { statusLine: 'HTTP/1.1 599 Unknown' },
  'an unknown status': { statusLine: 'HTTP/1.1 299 Unknown' },
  'an informational head': { before: 'HTTP/1.1 199 Unknown\r\nx-empty:\r\n\r\n' },
};

/** Creates the bytes of an answer with the given headers, whose body comes in chunks of `parts`, if in any. */
export function frameUnusualAnswer(
  { before = '', first, framing = 'length', last, statusLine, trailers = [] }: UnusualAnswer,
  headers: Readonly<Record<string, string>>,
  parts: readonly string[],
): Buffer {
  const body = parts.join('');
  const chunks = parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`).join('');
  const lines = [
    statusLine ?? 'HTTP/1.1 200 OK',
    ...(first === undefined ? [] : [first]),
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    framing === 'length' ? `content-length: ${body.length}` : 'transfer-encoding: chunked',
    ...(last === undefined ? [] : [last]),
  ];
  const end = [`${chunks}0`, ...trailers, '', ''].join('\r\n');
  const text = `${before}${lines.join('\r\n')}\r\n\r\n${framing === 'length' ? body : end}`;
  return Buffer.from(text, 'latin1');
}

function pair(name: string, answer: UnusualAnswer): [string, UnusualAnswer] {
  return [name, answer];
}
