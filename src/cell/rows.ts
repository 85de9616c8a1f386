/**
 * Where the rows of a cell lie.
 *
 * Accepted jobs are spread over parts by id, since every entry process writes them; the rows that
 * only the cell's scheduler writes share one part, so that they change together with its sequence.
 */
import type { RowKey } from '../model/mod.ts';

const jobParts = 8;
const hexadecimal = 16;
const suffixDigits = 2;
const cellPart = 'c0';

/** Table of accepted jobs and of requests to cancel them. */
export const jobsTable = 'jobs';

/** Table of the progress of jobs. */
export const progressTable = 'progress';

/** Table of the scheduler's claim and heartbeat. */
export const leadershipTable = 'leadership';

/** The row of the present claim. */
export const claimRow: RowKey = { table: leadershipTable, part: cellPart, key: 'claim' };

/** The row of the scheduler's heartbeat. */
export const heartbeatRow: RowKey = { table: leadershipTable, part: cellPart, key: 'heartbeat' };

/** The row that every transaction of the scheduler replaces. */
export const sequenceRow: RowKey = { table: 'sequence', part: cellPart, key: 'sequence' };

const cancellationSuffix = '/cancelled';

function jobPart(id: string): string {
  return `j${parseInt(id.slice(-suffixDigits), hexadecimal) % jobParts}`;
}

/** The row of an accepted job. */
export function jobRow(id: string): RowKey {
  return { table: jobsTable, part: jobPart(id), key: id };
}

/** The row that asks for a job to be cancelled. */
export function cancellationRow(id: string): RowKey {
  return { table: jobsTable, part: jobPart(id), key: `${id}${cancellationSuffix}` };
}

/** The job that a row of the jobs' table asks to cancel, if it does so. */
export function cancelledJob(key: string): string | undefined {
  return key.endsWith(cancellationSuffix) ? key.slice(0, -cancellationSuffix.length) : undefined;
}

/** The row of a job's progress. */
export function progressRow(id: string): RowKey {
  return { table: progressTable, part: cellPart, key: id };
}

/** The part in which the progress of all jobs of the cell lies. */
export const progressPart = cellPart;
