/** Outcome of a request; sent in a header and in the last event. */
export type Outcome = 'complete' | 'not-run' | 'incomplete' | 'unknown';

/** Response header for the outcome. */
export const OUTCOME_HEADER = 'bramleyridge-outcome';

/** Response header for the generation's identifier. */
export const GENERATION_HEADER = 'bramleyridge-generation';

/** Request header that marks a call to a plain service as repeatable or not. */
export const REPEATABLE_HEADER = 'bramleyridge-repeatable';

/** Request header that selects the class of a generation. */
export const CLASS_HEADER = 'bramleyridge-class';
