import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

function createEvent(offset: number): string {
  return `id: g:${offset}\ndata: {"text":"Lüderitz 🎙 ${offset}"}\n\n`;
}

function pushAll(splitter: requests.GenerationEventSplitter, chunks: readonly Buffer[]) {
  const passed: Buffer[] = [];
  let isDone = false;
  for (const chunk of chunks) {
    const events = splitter.push(chunk);
    passed.push(...events.bytes);
    isDone = isDone || events.isDone;
    if (events.hasGap) {
      break;
    }
  }
  return { text: Buffer.concat(passed).toString('utf8'), isDone };
}

void tap.default.test('events are returned complete and once, wherever chunks end', async (t) => {
  // Chunks end inside a character, a line or an event; events are repeated, with comments between them.
  const whole = Array.from({ length: 12 }, (_, i) => createEvent(i)).join('');
  const sent = `${Array.from({ length: 12 }, (_, i) => {
    const event = createEvent(i);
    return i % 3 === 0 ? `${event}: alive\n\n${event}` : event;
  }).join('')}data: [DONE]\n\n`;
  const bytes = Buffer.from(sent);
  const property = fc.property(
    fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
    (cuts) => {
      const chunks: Buffer[] = [];
      for (let at = 0, i = 0; at < bytes.length; i += 1) {
        const size = cuts[i % cuts.length]!;
        chunks.push(bytes.subarray(at, at + size));
        at += size;
      }
      const { text, isDone } = pushAll(new requests.GenerationEventSplitter('g', 0), chunks);
      return text === whole && isDone;
    },
  );
  t.doesNotThrow(() => fc.assert(property, { seed: 1, numRuns: 300 }));
});

void tap.default.test(
  'events after a gap, of another generation or before the offset are dropped',
  async (t) => {
    const cases = [
      {
        name: 'events after a gap',
        sent: createEvent(0) + createEvent(2) + createEvent(3),
        passed: createEvent(0),
        next: 1,
        hasGap: true,
      },
      {
        name: 'events of another generation',
        sent: createEvent(0) + createEvent(1).replace('id: g:', 'id: h:'),
        passed: createEvent(0),
        next: 1,
      },
      {
        name: 'events before the requested offset',
        sent: createEvent(0) + createEvent(1),
        passed: '',
        next: 5,
        from: 5,
      },
    ];
    cases.forEach(({ name, sent, passed, next, from, hasGap }) => {
      const splitter = new requests.GenerationEventSplitter('g', from ?? 0);
      t.equal(pushAll(splitter, [Buffer.from(sent)]).text, passed, name);
      t.equal(splitter.getNextOffset(), next, `${name}: the next offset`);
      const fresh = new requests.GenerationEventSplitter('g', from ?? 0);
      t.equal(fresh.push(Buffer.from(sent)).hasGap, hasGap ?? false, `${name}: reported as a gap`);
    });
  },
);

// Guards against an event in chunks of one byte, each of which costs processor time.
void tap.default.test('a generation with an event in too many parts is corrupt', async (t) => {
  const MOST = 65_536;
  const splitter = new requests.GenerationEventSplitter('g', 0);
  const part = Buffer.from('x');
  t.notOk(splitter.push(Buffer.from(createEvent(0))).hasGap);
  const early = Array.from({ length: MOST }, () => splitter.push(part).hasGap);
  t.notOk(early.includes(true), 'as many as allowed');
  t.ok(splitter.push(part).hasGap, 'one more');
  splitter.restart();
  t.notOk(splitter.push(part).hasGap, 'a new connection begins anew');
});
