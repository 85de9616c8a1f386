/**
 * The policy: pure functions and data structures that decide and explain, and do no I/O.
 */
export * from './placement.ts';
export * from './waiting.ts';
export { makeWaitingWork } from './_waiting_work.ts';
export type { WaitingOptions } from './_waiting_work.ts';
export { makePlacementIndex, defaultLookupSize } from './_placement_index.ts';
export type { PlacementOptions } from './_placement_index.ts';
