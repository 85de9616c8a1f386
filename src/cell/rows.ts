/**
 * Tables and row keys of a cell.
 *
 * The rows of the cell's scheduler share one partition, so that one transaction can change them
 * together with the sequence row. The rows that entry processes write while no scheduler responds
 * are distributed over partitions by job id.
 */
import type { RowKey } from '../model/mod.ts';

const jobPartCount = 8;
const hexadecimalRadix = 16;
const idSuffixDigits = 2;
const cellPart = 'c0';

/** Table of the jobs accepted by the scheduler. */
export const acceptedTable = 'accepted';

/** Table of jobs and cancellations that entry processes store without the scheduler. */
export const jobsTable = 'jobs';

/** Table of the progress of jobs. */
export const progressTable = 'progress';

/** Table of the scheduler's claim and heartbeat. */
export const leadershipTable = 'leadership';

/** Key of the row of the current claim. */
export const claimRow: RowKey = { table: leadershipTable, part: cellPart, key: 'claim' };

/** Key of the row of the scheduler's heartbeat. */
export const heartbeatRow: RowKey = { table: leadershipTable, part: cellPart, key: 'heartbeat' };

/** Key of the row that each claim and each batch of the scheduler checks and replaces. */
export const sequenceRow: RowKey = { table: 'sequence', part: cellPart, key: 'sequence' };

/** Returns the row key of a job accepted by the scheduler. */
export function acceptedRow(id: string): RowKey {
  return { table: acceptedTable, part: cellPart, key: id };
}

/** Returns the name of a row among all tables. */
export function getRowName({ table, part, key }: RowKey): string {
  return `${table}/${part}/${key}`;
}

const cancellationSuffix = '/cancelled';

function getJobPart(id: string): string {
  return `j${parseInt(id.slice(-idSuffixDigits), hexadecimalRadix) % jobPartCount}`;
}

/** Returns the row key of a job that an entry process accepted without the scheduler. */
export function jobRow(id: string): RowKey {
  return { table: jobsTable, part: getJobPart(id), key: id };
}

/** Returns the key of the row that requests the cancellation of a job. */
export function cancellationRow(id: string): RowKey {
  return { table: jobsTable, part: getJobPart(id), key: `${id}${cancellationSuffix}` };
}

/** Returns the id of the job that a row of the jobs table cancels; undefined for other rows. */
export function getCancelledJobId(key: string): string | undefined {
  return key.endsWith(cancellationSuffix) ? key.slice(0, -cancellationSuffix.length) : undefined;
}

/** Returns the row key of a job's progress. */
export function progressRow(id: string): RowKey {
  return { table: progressTable, part: cellPart, key: id };
}

/** The partition of the scheduler's rows: accepted jobs, progress, claim, heartbeat and sequence. */
export const schedulerPart = cellPart;
