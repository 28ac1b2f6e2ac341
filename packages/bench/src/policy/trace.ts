import * as fs from 'node:fs';

import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as z from 'zod';

/** One request of a trace. */
export const traceLine = z.object({
  /** Seconds from the start at one request per second; a replay scales it by its rate. */
  arrival: z.number(),
  team: z.string(),
  model: z.string(),
  class: z.enum(['interactive', 'batch']),
  kind: z.string(),
  promptTokens: z.int(),
  prefix: z.string(),
  prefixTokens: z.int(),
  outputTokens: z.int(),
});

/** One request of a trace. */
export type TraceLine = z.infer<typeof traceLine>;

/** One kind of work in a mix. */
interface Kind {
  readonly kind: string;
  readonly class: TraceLine['class'];
  /** Number of requests for each draft or summary. */
  readonly share: number;
  readonly prompt: readonly [number, number];
  /** Median in tokens, and sigma, of the log-normal output length. */
  readonly output: readonly [number, number];
  readonly prefixes: number;
  readonly prefixTokens: number;
}

/** A user's workload mix, and their teams with weight and share of the demand. */
export interface Mix {
  readonly user: string;
  readonly model: string;
  readonly kinds: readonly Kind[];
  readonly teams: readonly {
    readonly name: string;
    readonly weight: number;
    readonly demand: number;
  }[];
}

const TEAMS: Mix['teams'] = [
  { name: 'large-one', weight: 3, demand: 0.3 },
  { name: 'large-two', weight: 2, demand: 0.3 },
  { name: 'middle', weight: 2, demand: 0.2 },
  { name: 'small-one', weight: 1, demand: 0.1 },
  { name: 'small-two', weight: 1, demand: 0.1 },
];

/** The workload mixes of both users; the figures are assumptions made from the users' descriptions. */
export const MIXES: readonly Mix[] = [
  {
    user: 'kalahari',
    model: 'spot-drafter',
    teams: TEAMS,
    kinds: [
      {
        kind: 'draft',
        class: 'batch',
        share: 1,
        prompt: [400, 1_200],
        output: [1_800, 0.9],
        prefixes: 40,
        prefixTokens: 256,
      },
      {
        kind: 'clash-check',
        class: 'interactive',
        share: 3,
        prompt: [200, 500],
        output: [18, 0.7],
        prefixes: 40,
        prefixTokens: 128,
      },
      {
        kind: 'slot-query',
        class: 'interactive',
        share: 4,
        prompt: [80, 160],
        output: [12, 0.5],
        prefixes: 4,
        prefixTokens: 64,
      },
    ],
  },
  {
    user: 'exit-survey',
    model: 'transcript-reader',
    teams: TEAMS,
    kinds: [
      {
        kind: 'summary',
        class: 'batch',
        share: 1,
        prompt: [2_000, 6_000],
        output: [900, 0.8],
        prefixes: 8,
        prefixTokens: 512,
      },
      {
        kind: 'theme-tag',
        class: 'interactive',
        share: 2,
        prompt: [1_000, 2_500],
        output: [24, 0.6],
        prefixes: 8,
        prefixTokens: 256,
      },
    ],
  },
];

const MAX_OUTPUT_TOKENS = 24_000;

/** A seeded random number generator. */
export class Random {
  private readonly rng: ReturnType<typeof xoroshiro.xoroshiro128plus>;

  public constructor(seed: number) {
    this.rng = xoroshiro.xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (included) to 1 (excluded). */
  public next(): number {
    return (this.rng.next() >>> 0) / 2 ** 32;
  }

  /** Returns an integer from a range, both ends included. */
  public between(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  /** Returns a number from the standard normal distribution. */
  public normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    return radius * Math.cos(2 * Math.PI * this.next());
  }
}

/** Creates a trace of a mix: a Poisson process of `count` requests at one per second. */
export function createTrace(mix: Mix, seed: number, count: number): TraceLine[] {
  const random = new Random(seed * 7_919 + mix.user.length);
  let arrival = 0;
  return Array.from({ length: count }, () => {
    arrival -= Math.log(1 - random.next());
    const kind = pick(mix.kinds, (item) => item.share, random);
    const team = pick(mix.teams, (item) => item.demand, random);
    const [median, sigma] = kind.output;
    const length = Math.round(median * Math.exp(sigma * random.normal()));
    return {
      arrival: Number(arrival.toFixed(4)),
      team: team.name,
      model: mix.model,
      class: kind.class,
      kind: kind.kind,
      promptTokens: random.between(kind.prompt[0], kind.prompt[1]),
      prefix: `${kind.kind}-${random.between(1, kind.prefixes)}`,
      prefixTokens: kind.prefixTokens,
      outputTokens: Math.max(1, Math.min(MAX_OUTPUT_TOKENS, length)),
    };
  });
}

/** Reads a recorded trace. */
export function readTrace(file: string): TraceLine[] {
  return fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => traceLine.parse(JSON.parse(line)));
}

/** Writes a trace as JSON lines. */
export function writeTrace(file: string, trace: readonly TraceLine[]): void {
  fs.writeFileSync(file, `${trace.map((line) => JSON.stringify(line)).join('\n')}\n`);
}

function pick<T>(items: readonly T[], getShare: (item: T) => number, random: Random): T {
  const total = items.reduce((sum, item) => sum + getShare(item), 0);
  let remaining = random.next() * total;
  return items.find((item) => (remaining -= getShare(item)) < 0) ?? items.at(-1)!;
}
