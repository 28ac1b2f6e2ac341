import * as routing from '@bramleyridge/routing';
import type * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

/** Draws services at evenly spaced points, and returns how often each was drawn. */
function draw(weights: readonly number[]): number[] {
  const targets = weights.map((weight, i) => ({ service: `${i}`, weight }));
  const counts = weights.map(() => 0);
  for (let n = 0; n < 100; n += 1) {
    const service = routing.drawService({ targets } as unknown as schemas.Route, () => n / 100);
    counts[Number(service)] = counts[Number(service)]! + 1;
  }
  return counts;
}

// Guards against weights whose sum is not finite, which send every call to the first service, even one without weight.
void tap.default.test('services are drawn by their weights, however large', async (t) => {
  const cases = [
    { weights: [90, 10], counts: [90, 10] },
    { weights: [0, 1], counts: [0, 100] },
    { weights: [1e308, 1e308], counts: [50, 50] },
    { weights: [0, 1e308, 1e308], counts: [0, 50, 50] },
    { weights: [5e-324, 5e-324], counts: [50, 50] },
    { weights: [1e308, 1], counts: [100, 0] },
  ];
  cases.forEach(({ counts, weights }) => t.same(draw(weights), counts, weights.join(', ')));
  const last = routing.drawService(
    {
      targets: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 3 },
      ],
    } as unknown as schemas.Route,
    () => 1 - Number.EPSILON / 2,
  );
  t.equal(last, 'b');
});
