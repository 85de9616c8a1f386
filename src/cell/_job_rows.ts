/**
 * Loads the cell's jobs from the store: accepted jobs, cancellations and progress.
 */
import { Right } from 'purify-ts';

import type { Outcome } from '../errors/mod.ts';
import { isTerminalState } from '../model/mod.ts';
import type { Store, StoredRow, VersionedRows } from '../model/mod.ts';
import { addEndedJob, addJob, restoreProgress, listRuns } from '../scheduler/mod.ts';
import type { JobRecord } from '../scheduler/mod.ts';
import { decodeAcceptedJob } from './_accepted_job.ts';
import type { RunEndHandler } from './_run_end_handler.ts';
import {
  acceptedTable,
  getCancelledJobId,
  jobsTable,
  progressTable,
  schedulerPart,
} from './rows.ts';
import { forEachRow } from './table_watcher.ts';
import type { Term } from './_term_state.ts';

/**
 * Reads all partitions of the jobs table. The version is the oldest of those read, so that a watch from
 * it misses no change.
 */
export async function readJobRows(store: Store): Outcome<VersionedRows> {
  // Reading an empty partition gives the version before the partitions are listed: a watch from it
  // also finds the first row of a partition that was not listed yet.
  const emptyPartitionView = await store.read({ table: jobsTable, part: 'none' });
  if (emptyPartitionView.isLeft()) return emptyPartitionView;
  const parts = await store.listParts(jobsTable);
  if (parts.isLeft()) return parts;
  const snapshots = [emptyPartitionView.extract() as VersionedRows];
  // One after the other, so that a small host decodes each response before the next one arrives.
  for (const part of parts.extract() as string[]) {
    const view = await store.read({ table: jobsTable, part });
    if (view.isLeft()) return view;
    snapshots.push(view.extract() as VersionedRows);
  }
  return Right({
    rows: snapshots.flatMap(({ rows }) => rows),
    version: Math.min(...snapshots.map(({ version }) => version)),
  });
}

/** Reads the jobs that the scheduler and its predecessors have accepted. */
export function readAcceptedJobs(store: Store): Outcome<VersionedRows> {
  return store.read({ table: acceptedTable, part: schedulerPart });
}

/** Reads the progress of all jobs of the cell. */
export function readProgress(store: Store): Outcome<VersionedRows> {
  return store.read({ table: progressTable, part: schedulerPart });
}

function addAcceptedJob(term: Term, row: StoredRow, hasEntryRows: boolean): void {
  if (row.deleted || getCancelledJobId(row.key) !== undefined) return;
  const { clock, log, state } = term;
  const knownJob = state.jobs.get(row.key);
  if (knownJob) {
    knownJob.hasEntryRows ||= hasEntryRows;
    return;
  }
  const accepted = decodeAcceptedJob(row);
  const ageMs = Math.max(0, clock.wallTime() - accepted.acceptedAtMs);
  addJob(state, accepted, clock.now() - ageMs).hasEntryRows = hasEntryRows;
  log.info('job found', {
    event: 'job-found',
    id: row.key,
    queue: accepted.queue,
    ageMs,
    version: row.version,
  });
}

/**
 * Adds new jobs in the order in which they were stored; `hasEntryRows` says whether entry processes
 * stored them.
 */
export function addAcceptedJobs(term: Term, rows: StoredRow[], hasEntryRows: boolean): void {
  const sorted = [...rows].sort((a, b) => a.version - b.version);
  forEachRow(sorted, term.log, (row) => addAcceptedJob(term, row, hasEntryRows));
}

/** Cancels the jobs for which cancellation rows exist. */
export function applyCancellations(term: Term, endHandler: RunEndHandler, rows: StoredRow[]): void {
  rows
    .filter(({ deleted }) => !deleted)
    .flatMap(({ key }) => getCancelledJobId(key) ?? [])
    .forEach((id) => {
      const job = term.state.jobs.get(id);
      if (job) job.hasEntryRows = true;
      endHandler.cancel(id);
    });
}

/** Applies changed or reread job and cancellation rows. */
export function applyJobRows(term: Term, endHandler: RunEndHandler, rows: StoredRow[]): void {
  addAcceptedJobs(term, rows, true);
  applyCancellations(term, endHandler, rows);
  term.schedulePass();
}

/** Restores the progress stored by predecessors; jobs and workers must have been added before. */
export function restoreJobs(term: Term, rows: StoredRow[]): void {
  const { state, clock, predecessorOrdersEndAtMs: lateStartsUntilMs } = term;
  forEachRow(rows, term.log, ({ key, value }) => {
    const job = state.jobs.get(key);
    const record = JSON.parse(value) as JobRecord;
    if (job) restoreProgress(state, job, record, { nowMs: clock.now(), lateStartsUntilMs });
    else if (isTerminalState(record.state)) addEndedJob(state, key, record.state, clock.now());
  });
}

/** Stops runs of jobs that have already ended, left over from an earlier term. */
export function stopRunsOfEndedJobs(term: Term, endHandler: RunEndHandler): void {
  [...term.state.jobs.values()]
    .filter(({ state }) => isTerminalState(state))
    .forEach((job) => endHandler.stopRuns(listRuns(job), 'job ended'));
}
