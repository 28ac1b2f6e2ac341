import * as yargs from 'yargs';

interface Bench {
  readonly describe: string;
  readonly run: () => Promise<void>;
}

const BENCHES: Readonly<Record<string, Bench>> = {
  policy: {
    describe: 'replays of both mixes under every policy, load, dial and fault',
    run: async () => (await import('./policy/policy-bench.js')).run(),
  },
  relay: {
    describe: 'one daemon on one core between an engine and callers',
    run: async () => (await import('./relay/relay-bench.js')).run(),
  },
  grants: {
    describe: "decisions a second of a pool's owner, bytes of its messages",
    run: async () => (await import('./grants-bench.js')).run(),
  },
  decisions: {
    describe:
      "what a placement, a release and a hand-over cost the leader's account, by engines and runs",
    run: async () => (await import('./decisions-bench.js')).run(),
  },
  control: {
    describe: 'configuration into force, faults and cost, on real processes',
    run: async () => (await import('./control/control-bench.js')).run(),
  },
  capacity: {
    describe: 'writes docs/CAPACITY.md from the figures; with --check fails where they disagree',
    run: async () =>
      (await import('./capacity/capacity-bench.js')).run(process.argv.includes('--check')),
  },
  all: {
    describe: 'one table of every headline figure that was measured, with its aim',
    run: async () => {
      process.stdout.write(`${(await import('./headline.js')).createHeadlineTable()}\n`);
    },
  },
};

/** Runs the benches that are named. */
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
