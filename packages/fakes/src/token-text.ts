import * as schemas from '@bramleyridge/schemas';

const WORDS = ['spot', 'log', 'slot', 'Lüderitz', 'Katima', 'summary', 'theme', 'ɛ', '稿', '🎙'];

/** Returns the text of one token, derived from a hash of the generation and the offset. */
export function getTokenText(generation: string, offset: number): string {
  const hash = schemas.getHash32(`${generation}/${offset}`);
  return ` ${WORDS[hash % WORDS.length]}${hash % 97}`;
}

/** Returns the text of the first `tokens` tokens of a generation. */
export function getText(generation: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, i) => getTokenText(generation, i)).join('');
}

/** Returns a heavy-tailed output length of at most `maxTokens`, derived from a hash of the prompt. */
export function getOutputTokens(prompt: string, maxTokens: number): number {
  const share = (schemas.getHash32(`length/${prompt}`) % 10_000) / 10_000;
  return Math.max(1, Math.min(maxTokens, Math.round(8 / (1 - share) ** 0.8)));
}
