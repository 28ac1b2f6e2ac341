import * as yargs from 'yargs';

interface Bench {
  readonly describe: string;
  readonly run: () => Promise<void>;
}

const BENCHES: Readonly<Record<string, Bench>> = {
  policy: {
    describe: 'replays both workload mixes under every policy, load, overflow risk and fault',
    run: async () => (await import('./policy/policy-bench.js')).run(),
  },
  relay: {
    describe: 'measures one daemon on one core between an engine and callers',
    run: async () => (await import('./relay/relay-bench.js')).run(),
  },
  grants: {
    describe: 'measures decisions per second of a pool owner and the size of its messages',
    run: async () => (await import('./grants-bench.js')).run(),
  },
  decisions: {
    describe:
      "measures the cost of a placement, a release and a migration in the leader's ledger, by engines and runs",
    run: async () => (await import('./decisions-bench.js')).run(),
  },
  control: {
    describe:
      'measures the time until a configuration is in force, recovery from faults and resource use, on real processes',
    run: async () => (await import('./control/control-bench.js')).run(),
  },
  capacity: {
    describe:
      'writes docs/CAPACITY.md from the measured figures; with --check fails when they disagree',
    run: async () =>
      (await import('./capacity/capacity-bench.js')).run(process.argv.includes('--check')),
  },
  all: {
    describe: 'prints one table of every measured headline figure with its target',
    run: async () => {
      process.stdout.write(`${(await import('./headline.js')).createHeadlineTable()}\n`);
    },
  },
};

/** Runs the benchmark that is named on the command line. */
async function main(): Promise<void> {
  const args = await yargs
    .default(process.argv.slice(2))
    .scriptName('npm run bench --')
    .usage('$0 NAME', 'measure', (y) =>
      y.positional('NAME', { choices: Object.keys(BENCHES), type: 'string', demandOption: true }),
    )
    .parse();
  const name = String((args as { NAME?: string }).NAME ?? args._[0]);
  await BENCHES[name]?.run();
}

await main();
