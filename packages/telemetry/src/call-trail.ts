/** A parsed log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** The log lines about one call, and the cause derived from them. */
export interface CallTrail {
  /** Why the call ended as it did, in one sentence. */
  readonly cause: string;
  /** The lines about the call, in order of time. */
  readonly lines: readonly LogLine[];
}

/** Reason with which a call is refused because too many upstream processes ended while they ran it. */
const QUARANTINED = 'quarantined';

/** Reason with which a call is refused because upstreams have reached their rate limits. */
const RATE_LIMIT = 'rate-limit';

/** Reason with which a call is refused because upstreams have asked for rest. */
const REST = 'rest';

/** Explanations of streams that broke off, by the reason for which they were not resumed. */
const RESUME_REFUSALS: Readonly<Record<string, string>> = {
  'no-copy': 'its engine broke off, and no copy of its run is known to exist',
  quarantine:
    'its engine broke off, and it is quarantined because upstreams ended while they ran it',
  'rate-limit':
    'its engine broke off, and the engine that could resume it had reached its rate limit',
  'retry-budget':
    'its engine broke off, and the retry budget did not allow another engine to resume it',
};

/** Reason with which a call gets no slot because no upstream may take it. */
const NO_UPSTREAM = 'no-upstream';

type Explain = (own: readonly LogLine[], all: readonly LogLine[]) => string | undefined;

/** Determines why a call ended as it did, from the log lines of any number of processes. */
export function explainCall(all: readonly LogLine[], request: string): CallTrail {
  const lines = all
    .filter((line) => line.request === request)
    .sort((a, b) => Number(a.time ?? 0) - Number(b.time ?? 0));
  const cause = EXPLANATIONS.map((explain) => explain(lines, all)).find(
    (found) => found !== undefined,
  );
  return { cause: cause ?? 'the lines do not say why', lines };
}

/** Ordered from the most specific to the least; the first explanation that applies is the cause. */
const EXPLANATIONS: readonly Explain[] = [
  (own) => (own.length === 0 ? 'no line has this identifier' : undefined),
  explainQuarantine,
  explainRefusal,
  explainNoSlot,
  explainNoCapacity,
  explainRateLimit,
  explainRest,
  explainUnusableBackup,
  explainNoRetry,
  explainNoBackup,
  explainCallerLeft,
  explainMissingOutcome,
  explainFailure,
  explainSuccess,
];

function findDecision(lines: readonly LogLine[], decision: string): LogLine | undefined {
  return lines.findLast((line) => line.decision === decision);
}

function findOutcome(own: readonly LogLine[], outcome: string): LogLine | undefined {
  const end = findDecision(own, 'outcome');
  return end?.outcome === outcome ? end : undefined;
}

/**
 * Explains a refusal by quarantine. An upstream that ended may have run such a call before, so the explanation includes
 * the outcome, which states whether the call ran.
 */
function explainQuarantine(own: readonly LogLine[], all: readonly LogLine[]): string | undefined {
  const line = own.findLast(
    ({ decision, reason }) => decision === 'refuse' && reason === QUARANTINED,
  );
  if (line === undefined) {
    return undefined;
  }
  const { digest } = line;
  const ended = all.filter((item) => item.event === 'process-ended' && item.digest === digest);
  const processes = [...new Set(ended.map(({ upstream }) => String(upstream)))];
  const listed = processes.length === 0 ? '' : `: ${processes.join(', ')}`;
  return (
    `refused as quarantined (digest ${String(digest)}): upstreams ended each time they began to run it${listed};` +
    ` its outcome is ${String(findDecision(own, 'outcome')?.outcome)}`
  );
}

function explainRefusal(own: readonly LogLine[]): string | undefined {
  const line = findDecision(own, 'refuse');
  return (
    line &&
    `refused from its head with status ${String(line.status)}: ${String(line.reason)}` +
      ` (configuration ${String(line.version)}, host ${String(line.host)}); it did not run`
  );
}

function explainNoCapacity(own: readonly LogLine[]): string | undefined {
  const line = findDecision(own, 'no-room');
  return (
    line &&
    `refused for lack of capacity at ${String(line.service)}: ${String(line.running)} generations` +
      ` were expected to fill ${getPercent(line.share)} of the engines, after ${String(line.waitedMs)} ms` +
      ` of waiting${describeReturn(line)}; it did not run`
  );
}

/**
 * Explains a refusal by the schedule of a plain service. The leader's line has the share and the limit that decided; it
 * is missing where the entry host scheduled alone or where the leader's log is not searched.
 */
function explainNoSlot(own: readonly LogLine[]): string | undefined {
  const refusals = own.filter(
    ({ decision, reason }) => decision === 'slot' && reason !== undefined,
  );
  const refused = refusals.at(-1);
  const line = findDecision(own, 'no-slot') ?? refused;
  const end = findDecision(own, 'outcome');
  // A call that has no outcome may run if it was sent before.
  const mayHaveRun =
    end === undefined ? findDecision(own, 'route') !== undefined : end.outcome !== 'not-run';
  if (line === undefined || mayHaveRun) {
    return undefined;
  }
  const why =
    line.reason === NO_UPSTREAM
      ? 'because no upstream of it may take calls'
      : `for lack of time: no slot would be free early enough${describeShare(refused)}`;
  return (
    `refused by the schedule of ${String(line.service)} ${why}, after ${String(line.waitedMs)} ms of waiting` +
    `${describeReturn(line)}; it did not run`
  );
}

/** Describes the share of a refused call's team and the limit of the service. */
function describeShare(refused: LogLine | undefined): string {
  if (refused === undefined) {
    return '';
  }
  const { inFlight, limit, priority, team, weight } = refused;
  const named = team === undefined ? 'calls without a team' : `team ${String(team)}`;
  return (
    ` for the share of ${named} (weight ${String(weight)}, priority ${String(priority)}) with` +
    ` ${String(inFlight)} calls in flight of at most ${String(limit)}`
  );
}

function describeReturn({ retryAfterMs }: LogLine): string {
  return retryAfterMs === undefined
    ? ''
    : `, with ${String(Math.round(Number(retryAfterMs)))} ms until it may return`;
}

/** Explains a refusal for want of an upstream below its rate limit, with the limits that were last named. */
function explainRateLimit(own: readonly LogLine[], all: readonly LogLine[]): string | undefined {
  const line = own.findLast(
    ({ decision, reason }) => decision === 'no-upstream' && reason === RATE_LIMIT,
  );
  const end = findDecision(own, 'outcome');
  if (line === undefined || end?.outcome !== 'not-run') {
    return undefined;
  }
  const limits = new Map(
    all
      .filter(({ event, time }) => event === 'upstream-limit' && isUpTo(time, line.time))
      .map(({ callsPerS, upstream }) => [String(upstream), callsPerS]),
  );
  const named = [...limits].filter(([, callsPerS]) => callsPerS !== undefined);
  const listed = named.map(([upstream, callsPerS]) => `${upstream} ${String(callsPerS)}/s`);
  return (
    `refused because every upstream of ${String(line.service)} had reached the rate limit that it named` +
    `${listed.length === 0 ? '' : `: ${listed.join(', ')}`}; it did not run`
  );
}

/** Explains a refusal while every upstream rests, with those whose rest had not ended. */
function explainRest(own: readonly LogLine[], all: readonly LogLine[]): string | undefined {
  const line = own.findLast(
    ({ decision, reason }) => decision === 'no-upstream' && reason === REST,
  );
  if (line === undefined || findDecision(own, 'outcome')?.outcome !== 'not-run') {
    return undefined;
  }
  const changes = new Map(
    all
      .filter(({ event, host }) => event === 'upstream-rest' && host === line.host)
      .filter(({ time }) => isUpTo(time, line.time))
      .map(({ change, upstream }) => [String(upstream), change]),
  );
  const resting = [...changes].filter(([, change]) => change === 'began').map(([id]) => id);
  return (
    `refused because every upstream of ${String(line.service)} had turned calls of this host away and asked for` +
    ` rest${resting.length === 0 ? '' : `: ${resting.join(', ')}`}; it did not run`
  );
}

function isUpTo(time: unknown, limit: unknown): boolean {
  return Number(time ?? 0) <= Number(limit ?? 0);
}

function explainUnusableBackup(own: readonly LogLine[]): string | undefined {
  const failed = findDecision(own, 'resume-failed');
  return findOutcome(own, 'incomplete') && failed
    ? `engine ${String(failed.former)} broke off and the copy at ${String(failed.upstream)}` +
        ` could not be used: ${String(failed.err)}`
    : undefined;
}

function explainNoRetry(own: readonly LogLine[]): string | undefined {
  const refused = findDecision(own, 'resume-refused');
  if (refused === undefined || findOutcome(own, 'incomplete') === undefined) {
    return undefined;
  }
  return RESUME_REFUSALS[String(refused.reason)] ?? RESUME_REFUSALS['retry-budget'];
}

function explainNoBackup(own: readonly LogLine[]): string | undefined {
  const end = findOutcome(own, 'incomplete');
  const failed = findDecision(own, 'copy-failed');
  const why =
    failed === undefined ? 'there was no copy' : `no copy was made: ${String(failed.err)}`;
  return end && `engine ${String(end.upstream)} broke off, and ${why}`;
}

function explainCallerLeft(own: readonly LogLine[]): string | undefined {
  const end = findOutcome(own, 'caller-left');
  return (
    end && `the caller left after ${String(end.tookMs)} ms, while it was at ${String(end.upstream)}`
  );
}

/** Explains a call without an outcome. A process that is killed logs none, but a later start of its host is logged. */
function explainMissingOutcome(
  own: readonly LogLine[],
  all: readonly LogLine[],
): string | undefined {
  const last = own.at(-1);
  if (last === undefined || findDecision(own, 'outcome') !== undefined) {
    return undefined;
  }
  const restart = all.find(
    (line) =>
      line.event === 'started' &&
      line.host === last.host &&
      Number(line.time ?? 0) > Number(last.time ?? 0),
  );
  return restart === undefined
    ? 'these lines contain no outcome of it; it may still run, or its host is gone'
    : `host ${String(last.host)} ended while the call ran, and restarted`;
}

function explainFailure(own: readonly LogLine[]): string | undefined {
  const end = findDecision(own, 'outcome');
  if (end === undefined || end.outcome === 'complete') {
    return undefined;
  }
  const attempts = own.filter((line) => line.decision === 'upstream-failed');
  const tried = attempts.map((line) => `${String(line.upstream)}: ${String(line.reason)}`);
  return (
    `ended ${String(end.outcome)} with status ${String(end.status)}: ${String(end.reason)}` +
    (tried.length === 0 ? ` at ${String(end.upstream)}` : ` after ${tried.join(', ')}`)
  );
}

function explainSuccess(own: readonly LogLine[]): string | undefined {
  const end = findOutcome(own, 'complete');
  if (end === undefined) {
    return undefined;
  }
  const waitedMs = Number(findDecision(own, 'route')?.waitedMs ?? 0);
  const sends = own.filter((line) => line.decision === 'route').length;
  return (
    `complete with status ${String(end.status)} in ${String(end.tookMs)} ms: ${waitedMs} ms of` +
    ` waiting for capacity, ${sends} sends, resumed ${String(end.resumes)} times${describePace(end)}`
  );
}

function describePace({ firstEventMs, longestGapMs }: LogLine): string {
  return firstEventMs === undefined
    ? ''
    : `, first event after ${String(firstEventMs)} ms, longest pause ${String(longestGapMs)} ms`;
}

function getPercent(share: unknown): string {
  return `${Math.round(Number(share) * 100)}%`;
}
