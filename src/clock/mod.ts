/**
 * Time and randomness as arguments: the clock and random source that every part receives.
 */
export * from './clock.ts';
export * from './virtual_clock.ts';
export * from './random.ts';
export * from './timeout.ts';
