/** Type of a metric. */
export type MetricKind = 'counter' | 'histogram' | 'gauge';

/** Name, type and description of a metric. */
export interface MetricFacts {
  readonly kind: MetricKind;
  readonly name: string;
  readonly help: string;
  readonly labels: readonly string[];
}

/** Every metric of this system, by id. Names of histograms end in their unit, names of counters in `_total`. */
export const METRICS = {
  calls: {
    kind: 'counter',
    name: 'calls_total',
    help: 'Calls that ended, by route, outcome and what decided it',
    labels: ['route', 'outcome', 'reason'],
  },
  requests: {
    kind: 'counter',
    name: 'requests_total',
    help: 'Generations of the OpenAI API that ended',
    labels: ['outcome', 'team'],
  },
  connectionsClosed: {
    kind: 'counter',
    name: 'connections_closed_total',
    help: 'Connections of callers that were closed since the host is saturated or they hold too much',
    labels: ['reason'],
  },
  refusals: {
    kind: 'counter',
    name: 'refusals_total',
    help: 'Calls that were refused before they were sent',
    labels: ['reason'],
  },
  attempts: {
    kind: 'counter',
    name: 'attempts_total',
    help: 'Sends to upstreams, by service and how they ended',
    labels: ['service', 'result'],
  },
  upstreamConnects: {
    kind: 'counter',
    name: 'upstream_connects_total',
    help: 'Attempts to connect to upstreams, by how they ended',
    labels: ['result'],
  },
  upstreamConnectMs: {
    kind: 'histogram',
    name: 'upstream_connect_ms',
    help: 'How long attempts to connect to upstreams took',
    labels: ['result'],
  },
  tunnels: {
    kind: 'counter',
    name: 'tunnels_total',
    help: 'Connections to upstreams that this host asked other hosts for, by their answers',
    labels: ['result'],
  },
  tunnelsRelayed: {
    kind: 'counter',
    name: 'tunnels_relayed_total',
    help: 'Connections to upstreams that other hosts asked this host for, by its answers',
    labels: ['result'],
  },
  retries: {
    kind: 'counter',
    name: 'retries_total',
    help: 'Retries by where they came from: own share, lent by the leader, or denied',
    labels: ['service', 'source'],
  },
  limitedSends: {
    kind: 'counter',
    name: 'limited_sends_total',
    help: 'Sends to upstreams that limit their rate: granted or taken alone; withheld for this or a rest',
    labels: ['decision'],
  },
  resumes: {
    kind: 'counter',
    name: 'resumes_total',
    help: 'Streams that broke off, by whether they went on elsewhere and whether an event had arrived before',
    labels: ['result', 'after'],
  },
  runEnds: {
    kind: 'counter',
    name: 'run_ends_total',
    help: 'Streamed runs that ended, by what showed their end and whether this host had ordered that they stop',
    labels: ['end', 'stop'],
  },
  callMs: {
    kind: 'histogram',
    name: 'call_duration_ms',
    help: 'From the head of a call to the end of its answer',
    labels: ['route'],
  },
  firstEventMs: {
    kind: 'histogram',
    name: 'first_event_ms',
    help: 'From the head of a call to the first event of its stream',
    labels: ['route'],
  },
  eventGapMs: {
    kind: 'histogram',
    name: 'event_gap_ms',
    help: 'Between two events of a stream, as they were passed on',
    labels: ['route'],
  },
  queued: {
    kind: 'histogram',
    name: 'queued_ms',
    help: 'How long a generation waited for room',
    labels: ['class'],
  },
  callerConnections: {
    kind: 'gauge',
    name: 'caller_connections',
    help: 'Open connections of callers',
    labels: [],
  },
  peerConnectionsClosed: {
    kind: 'counter',
    name: 'peer_connections_closed_total',
    help: 'Connections of other hosts that were closed since they hold too much',
    labels: ['reason'],
  },
  keyedCalls: {
    kind: 'gauge',
    name: 'keyed_calls',
    help: 'Calls with a key that this host remembers for resends',
    labels: [],
  },
  claims: {
    kind: 'gauge',
    name: 'claims',
    help: 'Claims of keys that this host keeps',
    labels: [],
  },
  activeCalls: { kind: 'gauge', name: 'active_calls', help: 'Calls under way', labels: [] },
  heldBytes: {
    kind: 'gauge',
    name: 'held_bytes',
    help: 'Bytes of requests and answers that this host holds',
    labels: [],
  },
  configurationVersion: {
    kind: 'gauge',
    name: 'configuration_version',
    help: 'The version of the configuration in force on this host; -1 for none',
    labels: [],
  },
  listAgeMs: {
    kind: 'gauge',
    name: 'upstream_list_age_ms',
    help: 'How long ago the list of upstreams in use was true',
    labels: [],
  },
  upstreamsLive: {
    kind: 'gauge',
    name: 'upstreams_live',
    help: 'Upstreams that are listed and take work',
    labels: [],
  },
  pathsBlocked: {
    kind: 'gauge',
    name: 'paths_blocked',
    help: 'Upstreams that other hosts reach and this host does not',
    labels: [],
  },
  isCutOff: {
    kind: 'gauge',
    name: 'is_cut_off',
    help: 'Whether this host takes itself to be cut off from upstreams',
    labels: [],
  },
  tunnelsOpen: {
    kind: 'gauge',
    name: 'tunnels_open',
    help: 'Connections to upstreams that this host has open through other hosts',
    labels: [],
  },
  tunnelsHeld: {
    kind: 'gauge',
    name: 'tunnels_held',
    help: 'Connections to upstreams that this host relays for other hosts now',
    labels: [],
  },
  servicesBrittle: {
    kind: 'gauge',
    name: 'services_brittle',
    help: 'Services whose upstreams end when they turn away many calls, as this host has it',
    labels: [],
  },
  upstreamsLimited: {
    kind: 'gauge',
    name: 'upstreams_limited',
    help: 'Upstreams that limit their rate in their answers, as this host has it',
    labels: [],
  },
  upstreamsResting: {
    kind: 'gauge',
    name: 'upstreams_resting',
    help: 'Upstreams that have asked this host for rest',
    labels: [],
  },
  upstreamsLeaving: {
    kind: 'gauge',
    name: 'upstreams_leaving',
    help: 'Upstreams that have stated to this host that they leave',
    labels: [],
  },
  zonesEvacuated: {
    kind: 'gauge',
    name: 'zones_evacuated',
    help: 'Availability zones that get no new work, as this host has it',
    labels: [],
  },
  isLeading: { kind: 'gauge', name: 'is_leading', help: 'Whether this host leads', labels: [] },
  term: { kind: 'gauge', name: 'term', help: 'The term of the replicated log', labels: [] },
  logEntries: {
    kind: 'gauge',
    name: 'log_entries',
    help: 'Entries of the replicated log that this host keeps in memory',
    labels: [],
  },
  logBytes: {
    kind: 'gauge',
    name: 'log_bytes',
    help: 'Size of these entries, in bytes',
    labels: [],
  },
  seats: {
    kind: 'gauge',
    name: 'seats',
    help: 'Seats of the replicated log, as this host has it',
    labels: [],
  },
  seatsSilent: {
    kind: 'gauge',
    name: 'seats_silent',
    help: 'Seats whose holder this leader does not hear; -1 where this host does not lead',
    labels: [],
  },
  lossesBorne: {
    kind: 'gauge',
    name: 'losses_borne',
    help: 'Voters that may still be lost before the log stands still; -1 where this host does not lead',
    labels: [],
  },
  entryHosts: {
    kind: 'gauge',
    name: 'entry_hosts',
    help: 'Entry hosts that this leader hears',
    labels: [],
  },
  generationsPlaced: {
    kind: 'counter',
    name: 'generations_placed_total',
    help: 'Generations that the leader was asked to place',
    labels: ['result'],
  },
  teamCalls: {
    kind: 'counter',
    name: 'team_calls_total',
    help: 'Calls that asked the leader for capacity, by team and priority; kept where capacity is shared',
    labels: ['service', 'team', 'priority', 'result'],
  },
  teamAnswers: {
    kind: 'counter',
    name: 'team_answers_total',
    help: 'Complete answers by team and whether they were on time; kept where capacity is shared',
    labels: ['route', 'team', 'result'],
  },
  slots: {
    kind: 'counter',
    name: 'slots_total',
    help: 'Requests for slots at plain services: granted by the leader, taken alone, refused, or not decided',
    labels: ['service', 'decision'],
  },
  slotWaitMs: {
    kind: 'histogram',
    name: 'slot_wait_ms',
    help: 'From the request for a slot to its decision',
    labels: ['service'],
  },
  suspects: {
    kind: 'counter',
    name: 'suspects_total',
    help: 'Calls under which upstreams ended, by how it came to stand with them',
    labels: ['standing'],
  },
  logLinesLeftOut: {
    kind: 'counter',
    name: 'log_lines_left_out_total',
    help: 'Log lines beyond the budget of their kind',
    labels: ['kind'],
  },
} as const satisfies Record<string, MetricFacts>;

/** Id of a metric. */
export type MetricId = keyof typeof METRICS;
