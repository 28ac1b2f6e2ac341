import * as schemas from '@bramleyridge/schemas';

const WORDS = ['spot', 'log', 'slot', 'Lüderitz', 'Katima', 'summary', 'theme', 'ɛ', '稿', '🎙'];

/** The text of one token: the same for the same generation and offset, different for others. */
export function getTokenText(generation: string, offset: number): string {
  const hash = schemas.getHash32(`${generation}/${offset}`);
  return ` ${WORDS[hash % WORDS.length]}${hash % 97}`;
}

/** The whole text of a generation. */
export function getText(generation: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, i) => getTokenText(generation, i)).join('');
}

/** A length for a prompt that names none: seeded by the prompt, heavy-tailed, at most `most`. */
export function getOutputTokens(prompt: string, most: number): number {
  const share = (schemas.getHash32(`length/${prompt}`) % 10_000) / 10_000;
  return Math.max(1, Math.min(most, Math.round(8 / (1 - share) ** 0.8)));
}
