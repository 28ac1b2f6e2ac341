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
