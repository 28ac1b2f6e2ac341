/** Largest number of bytes that msgpack adds to one value. */
const HEAD_BYTES = 9;

/** Returns an upper bound of the size of a value in msgpack, in bytes, without encoding it. */
export function estimateEncodedBytes(value: unknown): number {
  if (typeof value === 'string') {
    return HEAD_BYTES + Buffer.byteLength(value);
  }
  if (value instanceof Uint8Array) {
    return HEAD_BYTES + value.byteLength;
  }
  if (typeof value !== 'object' || value === null) {
    return HEAD_BYTES;
  }
  if (Array.isArray(value)) {
    return value.reduce<number>((sum, item) => sum + estimateEncodedBytes(item), HEAD_BYTES);
  }
  return Object.entries(value).reduce(
    (sum, [key, item]) => sum + estimateEncodedBytes(key) + estimateEncodedBytes(item),
    HEAD_BYTES,
  );
}
