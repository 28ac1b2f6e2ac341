import * as fc from 'fast-check';

/** The procedures that daemons call at each other. */
export const PROCEDURES = [
  'adopt',
  'append',
  'changeVoters',
  'claim',
  'genesis',
  'grant',
  'grantSend',
  'holdsClaims',
  'listSuspects',
  'outcome',
  'permitSuspect',
  'pool',
  'propose',
  'recover',
  'reportLimit',
  'reportSuspects',
  'snapshot',
  'sync',
  'vote',
];

const oddNumber = fc.constantFrom(-1, 0, 0.5, 2 ** 31, 2 ** 53, 1e308, -1e308);
/** A value that fits few schemas. */
export const oddValue = fc.oneof(
  oddNumber,
  fc.constantFrom(null, '', '../..', '\u0000', '\ud800', true, [], {}, '__proto__'),
  fc.jsonValue(),
);

/** An object of which some fields have odd values or are missing. */
export function spoil(value: object): fc.Arbitrary<object> {
  const fields = Object.entries(value).map(
    ([name, sound]) =>
      [name, fc.oneof({ weight: 2, arbitrary: fc.constant(sound) }, oddValue)] as const,
  );
  return fc.record(Object.fromEntries(fields), { requiredKeys: [] });
}

const loadReport = {
  at: 1,
  ageMs: 0,
  tokensTotal: 65_536,
  tokensUsed: 0,
  running: 0,
  waiting: 0,
  preemptions: 0,
  state: 'live',
  models: [{ model: 'drafter', version: 'v0' }],
  cache: { first: 0, events: [{ prefix: 'p', isStored: true }] },
};

/** The body of an odd load report. */
export const oddReport = fc.oneof(
  spoil(loadReport).map((report) => JSON.stringify(report)),
  fc
    .record({ tokensTotal: oddNumber, tokensUsed: oddNumber, at: oddNumber, running: oddNumber })
    .map((figures) => JSON.stringify({ ...loadReport, ...figures })),
  fc.json(),
  fc.string(),
);

const path = fc.oneof(
  fc.constantFrom(
    '*',
    '//',
    '/%',
    '/%ZZ',
    'http://[::1/',
    '//[',
    '/services/%E0%A4%A/x',
    '/services/booking/%',
    '/services/booking/..%2f..',
    '/services/__proto__/x',
    '/v1/generations/%ZZ/events',
    '/v1/generations/.../events',
    '/v1/chat/completions?%',
    '/v1/models?a[]=%E0%A4%A',
    '/operator/v1/explain/%ZZ',
    '/operator/v1/explain/__proto__',
  ),
  fc.webPath().map((text) => `/services/booking/${text}`),
  fc.string({ maxLength: 20, unit: 'binary-ascii' }).map((text) => `/${text}`),
);

const headerValue = fc.oneof(
  fc.constantFrom(
    '',
    ',',
    '-1',
    '1e99',
    'NaN',
    '\u00ff',
    'a.b.c:-1',
    'Bearer token-sales',
    '%',
    '[::1',
  ),
  fc.string({ maxLength: 20, unit: 'binary-ascii' }),
);

const headers = fc.array(
  fc.tuple(
    fc.constantFrom(
      'host',
      'authorization',
      'content-length',
      'transfer-encoding',
      'connection',
      'expect',
      'upgrade',
      'idempotency-key',
      'last-event-id',
      'bramleyridge-repeatable',
      'accept-encoding',
      'x',
    ),
    headerValue,
  ),
  { maxLength: 4 },
);

/** The bytes of an odd request of a caller, as latin1 text. */
export const request = fc
  .record({
    method: fc.constantFrom('GET', 'POST', 'CONNECT', 'OPTIONS', 'TRACE', 'PUT', 'X'),
    path,
    token: fc.constantFrom('token-sales', 'token-night', 'token-operator', 'x'),
    headers,
    body: fc.oneof(fc.json(), fc.string()),
  })
  .map(({ body, headers: fields, method, path: target, token }) => {
    const team = `authorization: Bearer ${token}\r\n`;
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    return `${method} ${target} HTTP/1.1\r\nhost: x\r\n${team}${lines}content-length: ${body.length}\r\n\r\n${body}`;
  });

const input = fc.oneof(
  spoil({ daemonId: 'a-1', model: 'drafter', digest: 'd', call: 'c', waitMs: 1, limit: {} }),
  spoil({ from: 'a-1', incarnation: 1, availabilityZone: 'a', beats: [null], waitMs: 2 ** 53 }),
  oddValue,
);

/** Frames that a peer decodes, with inputs that fit no schema; some of them end their connection. */
export const frame = fc.oneof(
  {
    weight: 100,
    arbitrary: fc.tuple(fc.constant('call'), fc.nat(99), fc.constantFrom(...PROCEDURES), input),
  },
  fc.tuple(fc.constant('call'), oddValue, oddValue, input),
  fc.tuple(fc.constantFrom('part', 'cancel', 'taken', 'tunnel', 'result'), oddValue, oddValue),
  oddValue,
);
