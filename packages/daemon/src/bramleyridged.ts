#!/usr/bin/env node
import * as fs from 'node:fs';

import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';
import * as pino from 'pino';
import * as yargs from 'yargs';

import * as daemons from './daemon.js';

/** Exit code for invalid settings. */
const EXIT_BAD_CONFIG = 2;

function readConfig(path: string): schemas.DaemonConfig {
  const input: unknown = JSON.parse(fs.readFileSync(path, 'utf8'));
  const result = schemas.daemonConfig.safeParse(input);
  if (result.success) {
    return result.data;
  }
  const faults = schemas.listFaults(result.error, input);
  process.stderr.write(`${path}: the settings are not valid\n`);
  faults.forEach((fault) => process.stderr.write(`  ${fault}\n`));
  return process.exit(EXIT_BAD_CONFIG);
}

/** Reports errors that end the process on standard error, where a line is written at once. */
function reportFatalErrors({ daemonId }: schemas.DaemonConfig): void {
  const out = pino.destination({ dest: process.stderr.fd, sync: true });
  const reporter = new telemetry.FatalErrorReporter({
    log: pino.pino({ base: { daemon: daemonId } }, out),
    source: process,
    end: (exitCode) => process.exit(exitCode),
  });
  reporter.start();
}

async function main(): Promise<void> {
  const args = await yargs
    .default(process.argv.slice(2))
    .scriptName('bramleyridged')
    .option('config', { type: 'string', demandOption: true, describe: 'the settings, a JSON file' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
    .strict()
    .parse();
  let cfg: schemas.DaemonConfig;
  try {
    cfg = readConfig(args.config);
  } catch (err) {
    process.stderr.write(`${args.config}: ${schemas.toError(err).message}\n`);
    process.exit(EXIT_BAD_CONFIG);
  }
  if (args.check) {
    process.stdout.write(`${args.config}: valid\n`);
    return;
  }
  const log = pino.pino({ level: cfg.logLevel, base: { daemon: cfg.daemonId } });
  reportFatalErrors(cfg);
  const daemon = new daemons.Daemon(cfg, { log });
  const stop = () => {
    const end = async () => {
      await daemon.stop();
      process.exit(0);
    };
    schemas.runInBackground(end, { log, step: 'stop' });
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await daemon.start();
}

await main();
