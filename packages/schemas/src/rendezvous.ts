import * as xxhash from 'xxhash-wasm';

const hasher = await xxhash.default();

/** Returns a 32-bit hash of a text, identical in every process. */
export function getHash32(text: string): number {
  return hasher.h32(text);
}

/** Sorts candidates by rendezvous hashing (highest random weight) for a key; the first is the key's owner. */
export function rankByKey(key: string, candidates: readonly string[]): string[] {
  return candidates
    .map((id) => ({ id, weight: hasher.h32(`${key}/${id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map((candidate) => candidate.id);
}
