import * as requests from '@bramleyridge/requests';
import * as fc from 'fast-check';
import * as tap from 'tap';

function createEvents(from: number, to: number): string {
  return Array.from({ length: to - from }, (_, i) => `id: ${from + i}\ndata: Lüderitz\n\n`).join(
    '',
  );
}

void tap.default.test(
  'a stream that breaks off anywhere goes on without a gap or a repeat',
  async (t) => {
    // The engine dies after any byte; another goes on behind the last event that came whole, or a little before
    // it. The caller has every event once, in order, and no part of an event twice.
    const whole = createEvents(1, 9);
    const property = fc.property(
      fc.integer({ min: 0, max: whole.length }),
      fc.integer({ min: 1, max: 30 }),
      fc.integer({ min: 0, max: 2 }),
      (brokenAt, step, repeats) => {
        const cutter = new requests.SseEventSplitter();
        const passed: Buffer[] = [];
        const feed = (text: string) => {
          for (let at = 0; at < text.length; at += step) {
            passed.push(cutter.push(Buffer.from(text.slice(at, at + step))));
          }
        };
        feed(whole.slice(0, brokenAt));
        cutter.restart();
        const next = Number(cutter.getLastId() ?? 0) + 1;
        feed(createEvents(Math.max(1, next - repeats), 9));
        return Buffer.concat(passed).toString() === whole;
      },
    );
    t.doesNotThrow(() => fc.assert(property, { seed: 1, numRuns: 400 }));
  },
);
