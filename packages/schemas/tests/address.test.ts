import * as schemas from '@bramleyridge/schemas';
import * as fc from 'fast-check';
import * as tap from 'tap';

void tap.default.test('an IP address and a port are an address', async (t) => {
  const cases = [
    { text: '10.1.2.3:80', host: '10.1.2.3', port: 80 },
    { text: '127.0.0.1:65535', host: '127.0.0.1', port: 65_535 },
    { text: '[::1]:8080', host: '::1', port: 8_080 },
  ];
  cases.forEach(({ host, port, text }) => {
    t.same(schemas.parseAddress(text), { host, port });
    t.same(schemas.splitAddress(text), { host, port });
    t.equal(schemas.formatAddress({ host, port }), text);
    t.equal(schemas.address.parse(text), text);
  });
});

// Guards against one upstream that is known by two addresses.
void tap.default.test('an address has one form', async (t) => {
  const cases = {
    '127.0.0.1:08080': '127.0.0.1:8080',
    '127.0.0.1:00080': '127.0.0.1:80',
    '[0:0:0:0:0:0:0:1]:8080': '[::1]:8080',
    '[::A]:8080': '[::a]:8080',
  };
  Object.entries(cases).forEach(([text, form]) => t.equal(schemas.address.parse(text), form));
});

// Guards against an address that is accepted once and fails each time it is used.
void tap.default.test('anything else is no address', async (t) => {
  const texts = [
    '10.1.1.1:99999',
    '127.0.0.1:65536',
    '127.0.0.1:0',
    '999.1.1.1:80',
    '1.2.3:80',
    '010.1.1.1:80',
    '10.1.1.1',
    '10.1.1.1:',
    '10.1.1.1:8 0',
    '10.1.1.1:+80',
    '[::1:80',
    '::1:80',
    '[10.1.1.1]x:80',
    '%:80',
    'host.example:80',
    '10.1.1.1:80/path',
    'http://10.1.1.1:80',
    '',
  ];
  texts.forEach((text) => t.notOk(schemas.address.safeParse(text).success, text));
  t.ok(schemas.listenAddress.safeParse('127.0.0.1:0').success, 'port 0 is for listening');
});

void tap.default.test('whatever is accepted is the host of a URL', async (t) => {
  const text = fc.oneof(
    fc.tuple(fc.ipV4(), fc.nat(70_000)).map(([host, port]) => `${host}:${port}`),
    fc.tuple(fc.ipV6(), fc.nat(70_000)).map(([host, port]) => `[${host}]:${port}`),
    fc.string({ maxLength: 24 }),
  );
  fc.assert(
    fc.property(text, (item) => {
      if (schemas.address.safeParse(item).success) {
        t.ok(new URL(`http://${item}`).host !== '');
      }
    }),
    { numRuns: 2_000, seed: 68 },
  );
});
