import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

import * as apart from './support/run-apart.js';

/** Wrong bytes of an upstream before an event, as JavaScript expressions. */
const WRONG_BYTES: Record<string, string> = {
  'a comment with figures': `': ' + JSON.stringify(Object.fromEntries([...Array(60).keys()].map((i) => ['k' + i, i]))) + '\\n'`,
  'bare colons': `':'.repeat(60) + '\\n'`,
  'lines of comments': `': a:b\\n'.repeat(20_000)`,
  'a large comment': `':' + 'x:'.repeat(450_000) + '\\n'`,
  'colons in data': `'data: ' + ':'.repeat(900_000) + '\\n'`,
  'identifiers in one line': `'data: ' + 'id: '.repeat(200_000) + '\\n'`,
  'carriage returns': `'\\r:\\r\\n:'.repeat(150_000) + '\\n'`,
  'line feeds': `'\\n'.repeat(900_000)`,
};

/** Splitters of the streams of both APIs, as JavaScript expressions. */
const SPLITTERS: Record<string, string> = {
  'a routed stream': 'new requests.SseEventSplitter()',
  'a generation': `new requests.GenerationEventSplitter('g', 1)`,
};

void tap.default.test('wrong bytes in a stream take time by their number', async (t) => {
  // Guards against a process that answers nobody any more, since it examines the bytes of one stream forever.
  const url = import.meta.resolve('@bramleyridge/requests');
  const rows = Object.entries(SPLITTERS).flatMap(([splitter, create]) =>
    Object.entries(WRONG_BYTES).flatMap(([name, wrongBytes]) =>
      [1, 65_536].map((partBytes) => ({
        title: `${splitter}: ${name}, in parts of ${partBytes} bytes`,
        code: `
          bytes = Buffer.from(${wrongBytes} + 'id: 1\\ndata: a\\n\\n');
          splitter = ${create};
          for (let at = 0; at < bytes.length; at += ${partBytes}) {
            splitter.push(bytes.subarray(at, at + ${partBytes}));
          }`,
      })),
    ),
  );
  const ended = await apart.runApart(`
    const requests = await import('${url}');
    let bytes, splitter;
    ${rows.map(({ code, title }) => `${code}; report(${JSON.stringify(title)});`).join('\n')}
  `);
  t.same(
    ended,
    rows.map(({ title }) => title),
  );
});

void tap.default.test('only lines of comments count as no event', async (t) => {
  // Guards against an endless stream of comments, and against an event that counts as a comment.
  const property = fc.property(
    fc
      .array(fc.constantFrom(':', 'a', '\n:', '\na', '\r'), { maxLength: 8 })
      .map((x) => x.join('')),
    (text) => {
      const splitter = new requests.SseEventSplitter();
      const padding = ':'.repeat(1024 * 1024);
      splitter.push(Buffer.from(`${padding}\n\n`));
      splitter.push(Buffer.from(`${text}\n\n`));
      const isComment = text !== '' && !text.includes('\r') && !/(?:^|\n)[^:]/.test(text);
      return splitter.isCorrupt() === isComment;
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: 1, numRuns: 400 }));
});
