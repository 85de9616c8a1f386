/**
 * Explains from the logs what became of a job.
 */
export * from './log_line.ts';
export * from './timeline.ts';
export { delaysIn } from './delays.ts';
export type { Delays, QueueDelays } from './delays.ts';
