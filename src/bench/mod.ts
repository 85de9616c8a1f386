/**
 * The experiments of the bench, by name. Experiments that use real processes are added here too.
 */
import type { Experiment } from './_report.ts';
import { waiting } from './waiting.ts';

export type { BenchOptions, Experiment, Report, Series } from './_report.ts';
export { formatTable } from './_report.ts';

/** All experiments. */
export const experiments: Record<string, Experiment> = { waiting };
