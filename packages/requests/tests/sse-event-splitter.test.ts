import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

function createEvents(from: number, to: number): string {
  return Array.from({ length: to - from }, (_, i) => `id: ${from + i}\ndata: Lüderitz\n\n`).join(
    '',
  );
}

void tap.default.test(
  'a stream that breaks off anywhere continues without a gap or a repeat',
  async (t) => {
    // The engine fails after an arbitrary byte; another continues after the last complete event, or a few events
    // before that. The caller receives every event once, in order, and no part of an event twice.
    const whole = createEvents(1, 9);
    const property = fc.property(
      fc.integer({ min: 0, max: whole.length }),
      fc.integer({ min: 1, max: 30 }),
      fc.integer({ min: 0, max: 2 }),
      (brokenAt, step, repeats) => {
        const splitter = new requests.SseEventSplitter();
        const delivered: Buffer[] = [];
        const feed = (text: string) => {
          for (let at = 0; at < text.length; at += step) {
            delivered.push(splitter.push(Buffer.from(text.slice(at, at + step))));
          }
        };
        feed(whole.slice(0, brokenAt));
        splitter.restart();
        const next = Number(splitter.getLastId() ?? 0) + 1;
        feed(createEvents(Math.max(1, next - repeats), 9));
        return Buffer.concat(delivered).toString() === whole;
      },
    );
    t.doesNotThrow(() => fc.assert(property, { seed: 1, numRuns: 400 }));
  },
);

void tap.default.test('complete events are counted', async (t) => {
  // Guards against a pace of streams that counts the parts in which events arrive.
  const count = (text: string) => requests.countSseEvents(Buffer.from(text));
  t.equal(count(''), 0);
  t.equal(count('id: 1\ndata: a\n\n'), 1);
  t.equal(count('id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda'), 2);
});

// Guards against an event in chunks of one byte, each of which costs processor time.
void tap.default.test('an event in too many parts is corrupt', async (t) => {
  const MOST = 65_536;
  const event = 'id: 1\ndata: a\n\n';
  const splitter = new requests.SseEventSplitter();
  splitter.push(Buffer.from(`${event}id: 2\n`), MOST + 1);
  t.notOk(splitter.isCorrupt(), 'those that completed an event don’t count');
  splitter.push(Buffer.from('data'), MOST);
  t.notOk(splitter.isCorrupt(), 'as many as allowed');
  splitter.push(Buffer.from('x'));
  t.ok(splitter.isCorrupt(), 'one more');
  splitter.restart();
  t.notOk(splitter.isCorrupt(), 'a new connection begins anew');
});
