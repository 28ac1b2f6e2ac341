import * as schemas from '@bramleyridge/schemas';
import * as tap from 'tap';

// Guards against a name that is taken for one that a header can carry, or the reverse.
void tap.default.test('a header carries a text unless HTTP forbids or changes it', async (t) => {
  const carried = [
    '',
    'sales',
    'a b',
    'a\tb',
    'caf\u00e9',
    '\u5317\u4eac',
    '\u{1f680}',
    '\u0085',
    '%0d',
  ];
  carried.forEach((text) => {
    t.ok(schemas.isHeaderText(text), JSON.stringify(text));
    const encoded = schemas.encodeHeaderText(text);
    t.match(encoded, /^[\t\x20-\x7e\x80-\xff]*$/, `${JSON.stringify(text)} as bytes`);
    t.equal(schemas.decodeHeaderText(encoded), text, `${JSON.stringify(text)} read again`);
  });
  const others = [
    'a\r\nb',
    'a\nb',
    'a\0b',
    '\u007f',
    ' a',
    'a ',
    '\ta',
    'a\t',
    ' ',
    '\ud800',
    '\udc00a',
  ];
  others.forEach((text) => t.notOk(schemas.isHeaderText(text), JSON.stringify(text)));
  t.equal(schemas.decodeHeaderText('caf\u00e9'), 'caf\u00e9', 'bytes that are no UTF-8 stay');
});
