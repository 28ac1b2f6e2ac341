import * as crypto from 'node:crypto';

import * as intents from '@bramleyridge/intents';
import * as schemas from '@bramleyridge/schemas';
import * as telemetry from '@bramleyridge/telemetry';

import * as folders from './declaration-folder.js';
import * as exits from './exit-codes.js';
import * as logFiles from './log-files.js';
import * as clients from './operator-client.js';

/** How often `status --wait` looks, in milliseconds. */
const WAIT_POLL_MS = 100;

/** Where a command writes: for a person, or as JSON. */
export interface Output {
  readonly isJson: boolean;
  readonly write: (text: string) => void;
}

function show(output: Output, value: unknown, lines: readonly string[]): void {
  output.write(output.isJson ? JSON.stringify(value) : lines.join('\n'));
}

async function getStatus(client: clients.OperatorClient): Promise<schemas.StatusReport> {
  return schemas.parse(schemas.statusReport, await client.get('/status'), 'status');
}

/** Checks a folder of declarations without asking anyone. */
export function validate(output: Output, folder: string): void {
  const files = folders.readDeclarationFolder(folder);
  show(output, { files: files.length }, [`${files.length} declarations are valid`]);
}

/** Shows what a folder would change, without planning it. */
export async function diff(
  client: clients.OperatorClient,
  output: Output,
  folder: string,
  wantsExitCode: boolean,
): Promise<void> {
  const wanted = schemas.createDeclaration(folders.readDeclarationFolder(folder));
  const present = (await client.get('/declaration')) as schemas.Declaration;
  const changes = intents.diffDeclarations(present, wanted);
  show(output, changes, changes.map(intents.describeChange));
  if (wantsExitCode && changes.length > 0) {
    throw new exits.ExitError(exits.EXIT.different, `${changes.length} differences`);
  }
}

/** Makes a plan and shows it. */
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
  show(output, answer.body, [
    `${made.planId} on revision ${made.baseRevision}, content ${made.contentHash}`,
    ...made.changes.map((change) => `  ${intents.describeChange(change)}`),
    ...effects.map((effect) => `  then ${effect}`),
    `nothing happens until: bramleyctl confirm ${made.planId}`,
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
  show(output, answer.body, [`${planId} is confirmed as revision ${revision}`]);
}

/** Shows who has what in force; with `wait`, until every host has that revision. */
export async function status(
  client: clients.OperatorClient,
  output: Output,
  wait: number | undefined,
  timeoutMs: number,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  for (;;) {
    const found = await getStatus(client);
    const isThere =
      wait === undefined || (found.revision >= wait && found.zones.every((zone) => zone.isInForce));
    if (isThere || Date.now() >= end) {
      show(output, found, describeStatus(found));
      if (!isThere) {
        throw new exits.ExitError(
          exits.EXIT.waiting,
          `revision ${wait} is not in force everywhere`,
        );
      }
      return;
    }
    await new Promise((resolve) => {
      setTimeout(resolve, WAIT_POLL_MS);
    });
  }
}

function describeStatus(found: schemas.StatusReport): string[] {
  const seats = found.claimSeats.map((seat) => seat.daemonId).join(', ') || 'none yet';
  return [
    `revision ${found.revision}, leader ${found.leader}, claim seats: ${seats}`,
    ...found.voters.map(
      (voter) => `  voter ${voter.daemonId}: holds ${voter.match}, heard ${voter.silentMs} ms ago`,
    ),
    ...found.zones.flatMap((zone) => [
      `  ${zone.availabilityZone}: ${zone.isInForce ? 'in force' : 'NOT known to be in force'}` +
        (zone.silentMs < 0 ? ', never heard' : `, heard ${zone.silentMs} ms ago`),
      ...zone.hosts.map((host) => `    ${host.daemonId}: revision ${host.revision}`),
    ]),
  ];
}

/** Shows the decisions on one request, from the daemon that took them. */
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
  show(
    output,
    decisions,
    decisions.map((item) => `${item.at} ${item.decision}: ${JSON.stringify(item)}`),
  );
}

/** Shows why a call ended as it did, from the log files of any processes: the cause on top, then its lines. */
export async function explainFromLogs(
  output: Output,
  files: readonly string[],
  request: string,
): Promise<void> {
  const found = await logFiles.readLinesOn(files, request);
  const trail = telemetry.explainCall(found, request);
  show(output, trail, [trail.cause, ...trail.lines.map((line) => JSON.stringify(line))]);
  if (trail.lines.length === 0) {
    throw new exits.ExitError(exits.EXIT.failed, `no line on ${request}`);
  }
}

/** Lists the intents in force. */
export async function listIntents(client: clients.OperatorClient, output: Output): Promise<void> {
  const { intents: list } = (await client.get('/declaration')) as schemas.Declaration;
  show(
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
  show(
    output,
    found.voters,
    found.voters.map((voter) => `${voter.daemonId}: holds ${voter.match}`),
  );
}

/** Tells a daemon something that has no answer but that it was done. */
export async function tell(
  client: clients.OperatorClient,
  output: Output,
  path: '/drain' | '/keys/reload' | '/claims/refound',
): Promise<void> {
  const answer = await client.call('POST', path, {});
  if (answer.status >= 300) {
    throw clients.createFailure(answer);
  }
  show(output, {}, ['done']);
}
