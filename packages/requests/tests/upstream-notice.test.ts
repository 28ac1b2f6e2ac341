import * as requests from '@bramleyridge/requests';
import * as tap from 'tap';

const CASES: readonly (readonly [string | string[] | undefined, requests.NamedLimit])[] = [
  [undefined, { kind: 'none' }],
  ['2.5', { kind: 'named', callsPerS: 2.5 }],
  ['0', { kind: 'named', callsPerS: 0 }],
  ['1000000000', { kind: 'named', callsPerS: 1e9 }],
  ['3, 2', { kind: 'named', callsPerS: 2 }],
  [['4', '5'], { kind: 'named', callsPerS: 4 }],
  ['-1', { kind: 'unreadable', text: '-1' }],
  ['1e9', { kind: 'unreadable', text: '1e9' }],
  ['NaN', { kind: 'unreadable', text: 'NaN' }],
  ['', { kind: 'unreadable', text: '' }],
  ['2, fast', { kind: 'unreadable', text: '2, fast' }],
  ['x'.repeat(1_000), { kind: 'unreadable', text: 'x'.repeat(40) }],
];

// Guards against a header that makes no sense and is taken for a limit or for the end of one.
void tap.default.test('rate limits are decoded', async (t) => {
  CASES.forEach(([value, expected]) => {
    t.same(requests.parseNamedLimit(value), expected, JSON.stringify(value)?.slice(0, 40));
  });
});

const NOW_MS = Date.UTC(2030, 0, 1, 12, 0, 0);

const RESTS: readonly (readonly [number, string | undefined, requests.RequestedRest])[] = [
  [503, undefined, { kind: 'none' }],
  [200, '3', { kind: 'none' }],
  [503, '3', { kind: 'named', restMs: 3_000 }],
  [429, '0.5', { kind: 'named', restMs: 500 }],
  [503, '1, 4', { kind: 'named', restMs: 4_000 }],
  [503, 'Tue, 01 Jan 2030 12:00:07 GMT', { kind: 'named', restMs: 7_000 }],
  [503, 'Tue, 01 Jan 2030 11:00:00 GMT', { kind: 'named', restMs: 0 }],
  [503, '31536000', { kind: 'named', restMs: 31_536_000_000 }],
  [503, '-3', { kind: 'unreadable', text: '-3' }],
  [503, 'soon', { kind: 'unreadable', text: 'soon' }],
  [503, '1e9', { kind: 'unreadable', text: '1e9' }],
];

// Guards against a header that makes no sense and bars an upstream, or ends the host that reads it.
void tap.default.test('requests for rest are decoded', async (t) => {
  RESTS.forEach(([status, value, expected]) => {
    t.same(requests.parseRequestedRest(status, value, NOW_MS), expected, `${status} ${value}`);
  });
});
