import * as tap from 'tap';

import * as schemas from '@bramleyridge/schemas';

const KB = 1_024;

/** Largest number of bytes of memory for each byte that has arrived, and beside them. */
const MAX_COST = 2;
const MAX_SPARE_BYTES = KB;

void tap.default.test('parts of any size take as much memory as they have bytes', async (t) => {
  // Guards against a sender that chooses parts so small that each byte takes some hundred bytes of memory.
  [1, 7, 100, 4 * KB, 70 * KB].forEach((partBytes) => {
    const blocks = new schemas.ByteBlocks();
    const bytes = Buffer.from(Array.from({ length: 300 * KB }, (_, i) => i % 251));
    let maxExcess = 0;
    for (let at = 0; at < bytes.length; at += partBytes) {
      blocks.push(bytes.subarray(at, at + partBytes));
      maxExcess = Math.max(maxExcess, blocks.allocatedBytes - MAX_COST * blocks.length);
    }
    t.ok(maxExcess <= MAX_SPARE_BYTES, `${maxExcess} bytes too many in parts of ${partBytes}`);
    t.equal(blocks.length, bytes.length);
    t.ok(blocks.take().equals(bytes), `in parts of ${partBytes} they are the same bytes`);
  });
});

void tap.default.test('bytes are taken from the front while others arrive', async (t) => {
  const blocks = new schemas.ByteBlocks();
  const parts = ['ab', 'c', 'defgh', 'i', 'j'].map((text) => Buffer.from(text));
  parts.slice(0, 3).forEach((part) => blocks.push(part));
  t.equal(blocks.peek(4)?.toString(), 'abcd');
  t.equal(blocks.take(3).toString(), 'abc');
  parts.slice(3).forEach((part) => blocks.push(part));
  t.equal(blocks.peek(8), undefined, 'there are fewer');
  t.equal(blocks.take().toString(), 'defghij');
  t.equal(blocks.length, 0);
  t.equal(blocks.allocatedBytes, 0);
});

void tap.default.test('removed bytes take no memory', async (t) => {
  const blocks = new schemas.ByteBlocks();
  ['a', 'b', 'c'].forEach((text) => blocks.push(Buffer.from(text)));
  blocks.clear();
  t.equal(blocks.allocatedBytes, 0);
  blocks.push(Buffer.from('d'));
  t.equal(blocks.take().toString(), 'd');
});
