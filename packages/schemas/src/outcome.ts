/** What became of a request; sent in a header and in the last event. */
export type Outcome = 'complete' | 'not-run' | 'incomplete' | 'unknown';

/** The response header that carries the outcome. */
export const OUTCOME_HEADER = 'bramleyridge-outcome';

/** The response header that carries the generation's identifier. */
export const GENERATION_HEADER = 'bramleyridge-generation';

/** The request header that marks a call to a plain service as repeatable or not. */
export const REPEATABLE_HEADER = 'bramleyridge-repeatable';

/** The request header that chooses the class of a generation. */
export const CLASS_HEADER = 'bramleyridge-class';
