import * as crypto from 'node:crypto';

import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

import * as folders from './declaration-folder.js';
import * as exits from './exit-codes.js';
import * as logFiles from './log-files.js';
import * as clients from './operator-client.js';
import * as teamShares from './team-shares.js';

/** Interval at which `status --wait` polls, in milliseconds. */
const STATUS_POLL_INTERVAL_MS = 100;

/** Destination of a command's output, as text or as JSON. */
export interface Output {
  readonly isJson: boolean;
  readonly write: (text: string) => void;
}

function print(output: Output, value: unknown, lines: readonly string[]): void {
  output.write(output.isJson ? JSON.stringify(value) : lines.join('\n'));
}

async function getStatus(client: clients.OperatorClient): Promise<schemas.StatusReport> {
  return schemas.parse(schemas.statusReport, await client.get('/status'), 'status');
}

/** Validates a folder of declarations without a request to a daemon. */
export function validate(output: Output, folder: string): void {
  const files = folders.readDeclarationFolder(folder);
  print(output, { files: files.length }, [`${files.length} declarations are valid`]);
}

/** Shows the changes that a folder would make, without creating a plan. */
export async function diff(
  client: clients.OperatorClient,
  output: Output,
  folder: string,
  wantsExitCode: boolean,
): Promise<void> {
  const desired = schemas.createDeclaration(folders.readDeclarationFolder(folder));
  const current = (await client.get('/declaration')) as schemas.Declaration;
  const changes = intents.diffDeclarations(current, desired);
  print(output, changes, changes.map(intents.describeChange));
  if (wantsExitCode && changes.length > 0) {
    throw new exits.ExitError(exits.EXIT.different, `${changes.length} differences`);
  }
}

/** Creates a plan and shows it. */
export async function plan(
  client: clients.OperatorClient,
  output: Output,
  folder: string,
): Promise<void> {
  const files = folders.readDeclarationFolder(folder);
  const requestId = crypto.randomUUID();
  const answer = await client.call('POST', '/plans', { requestId, files });
  if (answer.status === 422) {
    const { faults } = answer.body as { faults: string[] };
    throw new exits.ExitError(exits.EXIT.invalid, faults.join('\n'));
  }
  if (answer.status !== 200) {
    throw clients.createFailure(answer);
  }
  const { plan: made, effects } = answer.body as { plan: schemas.Plan; effects: string[] };
  print(output, answer.body, [
    `${made.planId} on revision ${made.baseRevision}, content ${made.contentHash}`,
    ...made.changes.map((change) => `  ${intents.describeChange(change)}`),
    ...effects.map((effect) => `  then ${effect}`),
    `to put it in force: bramleyctl confirm ${made.planId}`,
  ]);
}

/** Confirms a plan. */
export async function confirm(
  client: clients.OperatorClient,
  output: Output,
  planId: string,
): Promise<void> {
  const requestId = crypto.randomUUID();
  const answer = await client.call('POST', `/plans/${planId}/confirm`, { requestId });
  if (answer.status !== 200) {
    throw clients.createFailure(answer);
  }
  const { revision } = answer.body as { revision: number };
  print(output, answer.body, [`${planId} is confirmed as revision ${revision}`]);
}

/** Shows the revision in force on each host; with `wait`, polls until every host has that revision. */
export async function status(
  client: clients.OperatorClient,
  output: Output,
  wait: number | undefined,
  timeoutMs: number,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  for (;;) {
    const found = await getStatus(client);
    const isReached =
      wait === undefined || (found.revision >= wait && found.zones.every((zone) => zone.isInForce));
    if (isReached || Date.now() >= end) {
      print(output, found, describeStatus(found));
      if (!isReached) {
        throw new exits.ExitError(
          exits.EXIT.waiting,
          `revision ${wait} is not in force everywhere`,
        );
      }
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, STATUS_POLL_INTERVAL_MS);
    });
  }
}

function describeStatus(report: schemas.StatusReport): string[] {
  const acceptors = report.claimSeats.map((seat) => seat.daemonId).join(', ') || 'none yet';
  return [
    `revision ${report.revision}, leader ${report.leader}, claim acceptors: ${acceptors}`,
    ...report.voters.map(
      (voter) =>
        `  voter ${voter.daemonId}: log index ${voter.match}, last response ${voter.silentMs} ms ago`,
    ),
    ...report.zones.flatMap((zone) => [
      `  ${zone.availabilityZone}: ${zone.isInForce ? 'in force' : 'NOT confirmed to be in force'}` +
        (zone.silentMs < 0 ? ', no report yet' : `, last report ${zone.silentMs} ms ago`),
      ...zone.hosts.map((host) => `    ${host.daemonId}: revision ${host.revision}`),
    ]),
  ];
}

/** Shows the decisions about a request, as recorded by the daemon that made them. */
export async function explain(
  client: clients.OperatorClient,
  output: Output,
  request: string,
): Promise<void> {
  const daemonId = request.split('.')[1];
  const found = await getStatus(client);
  const host = found.zones.flatMap((zone) => zone.hosts).find((item) => item.daemonId === daemonId);
  const path = `/explain/${encodeURIComponent(request)}`;
  const answer =
    host === undefined
      ? await client.call('GET', path)
      : await client.callAt(host.url, 'GET', path);
  const decisions = answer.body as { at: string; decision: string; reason: string }[];
  print(
    output,
    decisions,
    decisions.map((item) => `${item.at} ${item.decision}: ${JSON.stringify(item)}`),
  );
}

/** Shows why a call ended as it did, from the log files of any processes: first the cause, then the lines about it. */
export async function explainFromLogs(
  output: Output,
  files: readonly string[],
  request: string,
): Promise<void> {
  const found = await logFiles.readLinesOn(files, request);
  const trail = telemetry.explainCall(found, request);
  print(output, trail, [trail.cause, ...trail.lines.map((line) => JSON.stringify(line))]);
  if (trail.lines.length === 0) {
    throw new exits.ExitError(exits.EXIT.failed, `no log line about ${request}`);
  }
}

/** Shows how many calls of each service, team and priority asked for capacity, got it and were refused. */
export async function showShares(output: Output, addresses: readonly string[]): Promise<void> {
  const texts = await Promise.all(addresses.map((address) => teamShares.readMetrics(address)));
  const rows = teamShares.sumTeamCalls(texts);
  print(output, rows, [
    'service team priority asked granted refused',
    ...rows.map(({ asked, granted, priority, refused, service, team }) =>
      [service, team, priority, asked, granted, refused].join(' '),
    ),
  ]);
}

/** Lists the intents in force. */
export async function listIntents(client: clients.OperatorClient, output: Output): Promise<void> {
  const { intents: list } = (await client.get('/declaration')) as schemas.Declaration;
  print(
    output,
    list,
    list.map(
      (item) =>
        `${item.name}: ${item.model}:${item.version} for ${item.teams.join(', ')}` +
        ` in ${item.availabilityZones.join(', ')}, overflow risk ${item.overflowRisk}`,
    ),
  );
}

/** Adds or removes a voter, or lists them. */
export async function voters(
  client: clients.OperatorClient,
  output: Output,
  action: 'add' | 'remove' | 'list',
  daemonId: string,
): Promise<void> {
  if (action !== 'list') {
    const answer = await client.call('POST', '/voters', { action, daemonId });
    if (answer.status !== 200) {
      throw clients.createFailure(answer);
    }
  }
  const found = await getStatus(client);
  print(
    output,
    found.voters,
    found.voters.map((voter) => `${voter.daemonId}: log index ${voter.match}`),
  );
}

/** Sends a daemon a command whose response only acknowledges it. */
export async function sendCommand(
  client: clients.OperatorClient,
  output: Output,
  path: '/drain' | '/keys/reload' | '/claims/refound',
): Promise<void> {
  const answer = await client.call('POST', path, {});
  if (answer.status >= 300) {
    throw clients.createFailure(answer);
  }
  print(output, {}, ['done']);
}
