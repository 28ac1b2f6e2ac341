import * as routing from '@bramleyridge/routing';
import * as tap from 'tap';

function learn(distribution: routing.LengthDistribution, lengths: readonly number[]): void {
  lengths.forEach((length) => {
    const bucket = routing.getBucket(length);
    distribution.recordProgress(0, bucket);
    distribution.recordEnd(bucket);
  });
}

void tap.default.test('probabilities follow the observations', async (t) => {
  const distribution = new routing.LengthDistribution();
  learn(
    distribution,
    Array.from({ length: 1_000 }, (_, i) => (i % 2 === 0 ? 100 : 2_000)),
  );
  const cases = [
    { from: 0, to: 50, low: 0.95, high: 1 },
    { from: 0, to: 500, low: 0.45, high: 0.55 },
    { from: 300, to: 1_000, low: 0.95, high: 1 },
    { from: 300, to: 4_000, low: 0, high: 0.05 },
  ];
  cases.forEach(({ from, to, low, high }) => {
    const probability = distribution.getSurvival(from, to);
    t.ok(
      probability >= low && probability <= high,
      `from ${from} to ${to}: ${probability.toFixed(3)}`,
    );
  });
});

void tap.default.test('running generations count before they end', async (t) => {
  // At first only short generations have ended. If only these counted, every length would look
  // short, and the long ones that still run would fill the memory.
  const withRunning = new routing.LengthDistribution();
  const endedOnly = new routing.LengthDistribution();
  const short = Array.from({ length: 50 }, () => 20);
  learn(withRunning, short);
  learn(endedOnly, short);
  for (let i = 0; i < 50; i += 1) {
    withRunning.recordProgress(0, routing.getBucket(1_500));
  }
  t.ok(endedOnly.getSurvival(0, 1_000) < 0.1);
  const probability = withRunning.getSurvival(0, 1_000);
  t.ok(probability > 0.4 && probability < 0.6, probability.toFixed(3));
});

void tap.default.test('a change of the mix is learned, old observations decay', async (t) => {
  const distribution = new routing.LengthDistribution();
  learn(
    distribution,
    Array.from({ length: 2_000 }, () => 50),
  );
  learn(
    distribution,
    Array.from({ length: 6_000 }, () => 3_000),
  );
  t.ok(distribution.getSurvival(0, 1_000) > 0.9);
});
