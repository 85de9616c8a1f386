/**
 * Where the rows of a cell lie.
 *
 * The rows that only the cell's scheduler writes share one part, so that they change together with its
 * sequence. What entry processes write while no scheduler answers is spread over parts by id.
 */
import type { RowKey } from '../model/mod.ts';

const jobPartCount = 8;
const hexadecimalRadix = 16;
const idSuffixDigits = 2;
const cellPart = 'c0';

/** Table of the jobs that the scheduler has accepted. */
export const acceptedTable = 'accepted';

/** Table of jobs and requests to cancel that entry processes store without the scheduler. */
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

/** The row of a job that the scheduler has accepted. */
export function acceptedRow(id: string): RowKey {
  return { table: acceptedTable, part: cellPart, key: id };
}

const cancellationSuffix = '/cancelled';

function getJobPart(id: string): string {
  return `j${parseInt(id.slice(-idSuffixDigits), hexadecimalRadix) % jobPartCount}`;
}

/** The row of a job that an entry process has accepted without the scheduler. */
export function jobRow(id: string): RowKey {
  return { table: jobsTable, part: getJobPart(id), key: id };
}

/** The row that asks for a job to be cancelled. */
export function cancellationRow(id: string): RowKey {
  return { table: jobsTable, part: getJobPart(id), key: `${id}${cancellationSuffix}` };
}

/** The job that a row of the jobs' table asks to cancel, if it does so. */
export function cancelledJobId(key: string): string | undefined {
  return key.endsWith(cancellationSuffix) ? key.slice(0, -cancellationSuffix.length) : undefined;
}

/** The row of a job's progress. */
export function progressRow(id: string): RowKey {
  return { table: progressTable, part: cellPart, key: id };
}

/** The part in which all rows lie that the scheduler of the cell writes. */
export const schedulerPart = cellPart;
