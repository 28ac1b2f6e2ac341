/**
 * How far ahead memory is forecast, in milliseconds. What is placed now grows for some ten seconds while others
 * end; further ahead the ends outweigh the growth.
 */
export const HORIZON_MS = 3_000;

/** The forecast share of memory up to which generations are placed; the rest is for answers longer than told. */
export const PLACEMENT_LIMIT = 0.92;
