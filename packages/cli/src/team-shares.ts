import * as schemas from '@bramleyridge/schemas';
import * as undici from 'undici';

import * as exits from './exit-codes.js';

/** Time within which a host must answer with its metrics, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5_000;

/** A sample of the metric family: its labels and its value. */
const SAMPLE = /^bramleyridge_team_calls_total\{(.*)\} (\S+)/;

/** A label in the text format, whose value may contain escaped characters. */
const LABEL = /\b(\w+)="((?:[^"\\]|\\.)*)"/g;

/** Calls of one team and priority that asked for capacity of one service, since the core hosts started. */
export interface TeamCalls {
  readonly service: string;
  readonly team: string;
  readonly priority: string;
  readonly asked: number;
  readonly granted: number;
  readonly refused: number;
}

/** Reads the metrics at an address, which may be a URL or `host:port`. */
export async function readMetrics(address: string): Promise<string> {
  const url = address.includes('://') ? address : `http://${address}/metrics`;
  const res = await request(url);
  const text = await res.body.text();
  if (res.statusCode !== 200) {
    throw new exits.ExitError(exits.EXIT.failed, `${url}: status ${res.statusCode}`);
  }
  return text;
}

async function request(url: string): Promise<undici.Dispatcher.ResponseData> {
  try {
    return await undici.request(url, { signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) });
  } catch (err) {
    throw new exits.ExitError(exits.EXIT.failed, `${url}: ${schemas.toError(err).message}`);
  }
}

/** Sums up the calls of each service, team and priority over the metrics of several core hosts. */
export function sumTeamCalls(texts: readonly string[]): TeamCalls[] {
  const rows = new Map<string, TeamCalls>();
  texts
    .flatMap((text) => text.split('\n'))
    .forEach((line) => {
      const [, labels, value] = SAMPLE.exec(line) ?? [];
      if (labels !== undefined) {
        addSample(rows, readLabels(labels), Number(value));
      }
    });
  return [...rows.values()].sort(compareRows);
}

function addSample(
  rows: Map<string, TeamCalls>,
  { priority = '', result = '', service = '', team = '' }: Record<string, string>,
  value: number,
): void {
  const key = JSON.stringify([service, team, priority]);
  const row = rows.get(key) ?? { service, team, priority, asked: 0, granted: 0, refused: 0 };
  rows.set(key, {
    ...row,
    asked: row.asked + (result === 'asked' ? value : 0),
    granted: row.granted + (result === 'granted' ? value : 0),
    refused: row.refused + (result === 'refused' ? value : 0),
  });
}

function readLabels(text: string): Record<string, string> {
  return Object.fromEntries(
    [...text.matchAll(LABEL)].map(([, name, value]) => [name, value!.replace(/\\(.)/g, '$1')]),
  );
}

function compareRows(a: TeamCalls, b: TeamCalls): number {
  return (
    a.service.localeCompare(b.service) ||
    a.team.localeCompare(b.team) ||
    Number(a.priority) - Number(b.priority)
  );
}
