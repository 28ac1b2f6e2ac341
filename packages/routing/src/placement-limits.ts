/**
 * Horizon of the memory forecast, in milliseconds. A newly placed generation grows for about ten
 * seconds while others end; beyond this horizon the ends outweigh the growth.
 */
export const HORIZON_MS = 3_000;

/**
 * Forecast share of an engine's memory up to which generations are placed; the rest is reserved for
 * answers longer than estimated.
 */
export const PLACEMENT_LIMIT = 0.92;
