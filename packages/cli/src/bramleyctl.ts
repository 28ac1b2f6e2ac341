#!/usr/bin/env node
import * as crypto from 'node:crypto';

import * as schemas from '@bramleyridge/schemas';
import * as yargs from 'yargs';
import * as z from 'zod';

import * as commands from './commands.js';
import * as exits from './exit-codes.js';
import * as clients from './operator-client.js';

const KEY_BYTES = 32;

interface CommonOptions {
  readonly url: string[];
  readonly token: string;
  readonly json: boolean;
}

function getClient(args: object): clients.OperatorClient {
  const { token, url } = args as CommonOptions;
  return new clients.OperatorClient(url, token);
}

function getOutput(args: object): commands.Output {
  const { json } = args as CommonOptions;
  return { isJson: json, write: (text) => process.stdout.write(`${text}\n`) };
}

function printSchema(what: string): void {
  const schema = what === 'settings' ? schemas.daemonConfig : schemas.declarationFile;
  process.stdout.write(`${JSON.stringify(z.toJSONSchema(schema, { io: 'input' }), null, 2)}\n`);
}

function printKeys(): void {
  const active = `k${Date.now().toString(36)}`;
  const keys = { [active]: crypto.randomBytes(KEY_BYTES).toString('base64') };
  process.stdout.write(`${JSON.stringify({ active, keys }, null, 2)}\n`);
}

function printToken(): void {
  const token = crypto.randomBytes(KEY_BYTES).toString('base64url');
  process.stdout.write(`${JSON.stringify({ token, sha256: schemas.getSha256(token) })}\n`);
}

async function main(): Promise<void> {
  const folder = { type: 'string', alias: 'f', demandOption: true, describe: 'folder' } as const;
  await yargs
    .default(process.argv.slice(2))
    .scriptName('bramleyctl')
    .option('url', {
      type: 'string',
      array: true,
      default: (process.env.BRAMLEYRIDGE_URL ?? '').split(',').filter((url) => url !== ''),
      describe: 'URLs of daemons, tried in order; default: BRAMLEYRIDGE_URL',
    })
    .option('token', {
      type: 'string',
      default: process.env.BRAMLEYRIDGE_TOKEN ?? '',
      describe: "the operator's token; default: BRAMLEYRIDGE_TOKEN",
    })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .command('validate', 'validate a folder of declarations', { folder }, (args) =>
      commands.validate(getOutput(args), args.folder),
    )
    .command(
      'diff',
      'show the changes that a folder would make',
      { folder, 'exit-code': { type: 'boolean', default: false } },
      (args) => commands.diff(getClient(args), getOutput(args), args.folder, args['exit-code']),
    )
    .command('plan', 'create a plan without putting it in force', { folder }, (args) =>
      commands.plan(getClient(args), getOutput(args), args.folder),
    )
    .command(
      'confirm <plan>',
      'put a plan in force',
      (y) => y.positional('plan', { type: 'string', demandOption: true }),
      (args) => commands.confirm(getClient(args), getOutput(args), args.plan),
    )
    .command(
      'status',
      'show the revision in force on each host',
      { wait: { type: 'number' }, timeout: { type: 'number', default: 30, describe: 'seconds' } },
      (args) => commands.status(getClient(args), getOutput(args), args.wait, args.timeout * 1_000),
    )
    .command(
      'explain <request>',
      'show the decisions about a request',
      (y) =>
        y.positional('request', { type: 'string', demandOption: true }).option('logs', {
          type: 'string',
          array: true,
          describe: 'log files to search instead of querying the daemons',
        }),
      (args) =>
        args.logs === undefined
          ? commands.explain(getClient(args), getOutput(args), args.request)
          : commands.explainFromLogs(getOutput(args), args.logs, args.request),
    )
    .command(
      'shares',
      'show how many calls of each team asked for capacity and got it',
      {
        metrics: {
          type: 'string',
          array: true,
          demandOption: true,
          describe: 'addresses of the metrics of all core hosts',
        },
      },
      (args) => commands.showShares(getOutput(args), args.metrics),
    )
    .command('intents', 'list the intents in force', {}, (args) =>
      commands.listIntents(getClient(args), getOutput(args)),
    )
    .command(
      'voters <action> [daemon]',
      'add, remove or list voters',
      (y) =>
        y
          .positional('action', { choices: ['add', 'remove', 'list'] as const, demandOption: true })
          .positional('daemon', { type: 'string', default: '' }),
      (args) => commands.voters(getClient(args), getOutput(args), args.action, args.daemon),
    )
    .command(
      'drain',
      'stop the daemon at --url after its running requests have ended',
      {},
      (args) => commands.sendCommand(getClient(args), getOutput(args), '/drain'),
    )
    .command(
      'refound-claims',
      'start a new claim group without any recorded keys; read the operators’ page first',
      {},
      (args) => commands.sendCommand(getClient(args), getOutput(args), '/claims/refound'),
    )
    .command('reload-keys', 'make the daemon at --url reload its keys', {}, (args) =>
      commands.sendCommand(getClient(args), getOutput(args), '/keys/reload'),
    )
    .command(
      'schema <what>',
      'print a JSON Schema for editors',
      (y) =>
        y.positional('what', { choices: ['settings', 'declaration'] as const, demandOption: true }),
      (args) => printSchema(args.what),
    )
    .command('new-keys', 'print a new key file for the connections between daemons', {}, () =>
      printKeys(),
    )
    .command('new-token', 'print a new token and its hash', {}, () => printToken())
    .demandCommand(1)
    .strict()
    .fail((message, err) => {
      throw err ?? new exits.ExitError(exits.EXIT.invalid, message);
    })
    .parseAsync();
}

try {
  await main();
} catch (err) {
  process.stderr.write(`${schemas.toError(err).message}\n`);
  process.exitCode = err instanceof exits.ExitError ? err.code : exits.EXIT.failed;
}
