/**
 * Clocks and random sources. Components receive them as arguments, so that tests can control both.
 */
export * from './clock.ts';
export * from './virtual_clock.ts';
export * from './random.ts';
export * from './timeout.ts';
export * from './time_mark.ts';
