import * as schemas from '@bramleyridge/schemas';
import * as fc from 'fast-check';
import * as tap from 'tap';

void tap.default.test('the URL of a host is accepted', async (t) => {
  const texts = [
    'http://10.1.2.3:8000',
    'http://[::1]:8000',
    'https://engine-1.example',
    'http://localhost:1/path',
    'http://engine_1:65535',
  ];
  texts.forEach((text) => t.ok(schemas.httpUrl.safeParse(text).success, text));
});

// Guards against a URL that is accepted once and fails each time it is used.
void tap.default.test('a URL without a host to connect to is refused', async (t) => {
  const texts = [
    'mailto:a',
    'file:///etc/hosts',
    'ftp://10.1.1.1:80',
    'http://10.1.1.1:0',
    'http://10.1.1.1:65536',
    'http://999.1.1.1:80',
    'http://[::1:80',
    'http://%:80',
    'http://a..b',
    `http://${'a'.repeat(254)}`,
    'http://*:80',
    'http://',
    '10.1.1.1:80',
    '',
  ];
  texts.forEach((text) => t.notOk(schemas.httpUrl.safeParse(text).success, text));
});

void tap.default.test('whatever is accepted has an origin and a port', async (t) => {
  const text = fc.oneof(
    fc.webUrl(),
    fc.string({ maxLength: 24 }).map((host) => `http://${host}`),
  );
  fc.assert(
    fc.property(text, (item) => {
      if (schemas.httpUrl.safeParse(item).success) {
        const { origin, port } = new URL(item);
        t.ok(origin.startsWith('http') && port !== '0', item);
      }
    }),
    { numRuns: 1_000, seed: 68 },
  );
});
