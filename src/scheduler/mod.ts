/**
 * The scheduling decisions of one cell, as functions over the state of its jobs and workers. They do
 * no I/O: the caller stores the decisions and sends the start orders.
 */
export * from './state.ts';
export * from './jobs.ts';
export { computeObjectiveMs, computeSlackMs } from './rank.ts';
export * from './decide.ts';
export { maxStartedTasks } from './_place_step.ts';
export * from './pass.ts';
export * from './pressure.ts';
export * from './records.ts';
export { isServable } from './servable.ts';
export * from './tickets.ts';
export { exceedsUpperLimit, isStartWithinLimit } from './upper_limit.ts';
export * from './waiting.ts';
export * from './workers.ts';
export { updateFreeCapacity } from './resource_accounting.ts';
