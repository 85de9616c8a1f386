/**
 * Reads what the store holds of the cell's jobs: those accepted, those cancelled, and their progress.
 */
import { Right } from 'purify-ts';

import type { Outcome } from '../errors/mod.ts';
import { isTerminalState } from '../model/mod.ts';
import type { AcceptedJob, Store, StoredRow, VersionedRows } from '../model/mod.ts';
import { addEndedJob, addJob, restoreProgress, listRuns } from '../scheduler/mod.ts';
import type { JobRecord } from '../scheduler/mod.ts';
import type { Ends } from './_run_end_handler.ts';
import { acceptedTable, cancelledJob, jobsTable, progressTable, schedulerPart } from './rows.ts';
import type { Term } from './_term_state.ts';

/**
 * Reads all parts of the jobs' table. The version is that of the oldest reading, so that a watch from
 * it misses nothing.
 */
export async function readJobs(store: Store): Outcome<VersionedRows> {
  // A part in which no job lies tells the version before the parts are listed: a watch from it also
  // finds the first row of a part that was not listed yet.
  const before = await store.read({ table: jobsTable, part: 'none' });
  if (before.isLeft()) return before;
  const parts = await store.listParts(jobsTable);
  if (parts.isLeft()) return parts;
  const names = parts.extract() as string[];
  const views = await Promise.all(names.map((part) => store.read({ table: jobsTable, part })));
  const failed = views.find((view) => view.isLeft());
  if (failed) return failed;
  const whole = [before, ...views].map((view) => view.extract() as VersionedRows);
  return Right({
    rows: whole.flatMap(({ rows }) => rows),
    version: Math.min(...whole.map(({ version }) => version)),
  });
}

/** Reads the jobs that the scheduler and its predecessors have accepted themselves. */
export function readAccepted(store: Store): Outcome<VersionedRows> {
  return store.read({ table: acceptedTable, part: schedulerPart });
}

/** Reads the progress of all jobs of the cell. */
export function readProgress(store: Store): Outcome<VersionedRows> {
  return store.read({ table: progressTable, part: schedulerPart });
}

function takeAccepted(term: Term, row: StoredRow, hasEntryRows: boolean): void {
  if (row.deleted || cancelledJob(row.key) !== undefined) return;
  const { clock, log, state } = term;
  const known = state.jobs.get(row.key);
  if (known) {
    known.hasEntryRows ||= hasEntryRows;
    return;
  }
  const accepted = JSON.parse(row.value) as AcceptedJob;
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
 * Takes jobs that are new, in the order in which they were stored; `hasEntryRows` tells that entry
 * processes have stored them.
 */
export function takeAcceptedJobs(term: Term, rows: StoredRow[], hasEntryRows: boolean): void {
  [...rows]
    .sort((a, b) => a.version - b.version)
    .forEach((row) => takeAccepted(term, row, hasEntryRows));
}

/** Cancels the jobs that rows ask to cancel. */
export function takeCancellations(term: Term, ends: Ends, rows: StoredRow[]): void {
  rows
    .filter(({ deleted }) => !deleted)
    .flatMap(({ key }) => cancelledJob(key) ?? [])
    .forEach((id) => {
      const job = term.state.jobs.get(id);
      if (job) job.hasEntryRows = true;
      ends.cancel(id);
    });
}

/** Takes jobs and cancellations that are new or have been read anew. */
export function takeJobRows(term: Term, ends: Ends, rows: StoredRow[]): void {
  takeAcceptedJobs(term, rows, true);
  takeCancellations(term, ends, rows);
  term.schedulePass();
}

/** Takes the progress that predecessors have stored; the jobs and workers are known already. */
export function takeProgress(term: Term, rows: StoredRow[]): void {
  const { state, clock } = term;
  rows.forEach(({ key, value }) => {
    const job = state.jobs.get(key);
    const record = JSON.parse(value) as JobRecord;
    if (job) restoreProgress(state, job, record, clock.now());
    else if (isTerminalState(record.state)) addEndedJob(state, key, record.state, clock.now());
  });
}

/** Stops the runs of jobs that ended while their scheduler was lost. */
export function stopLeftOvers(term: Term, ends: Ends): void {
  [...term.state.jobs.values()]
    .filter(({ state }) => isTerminalState(state))
    .forEach((job) => ends.stopRuns(listRuns(job), 'job ended'));
}
