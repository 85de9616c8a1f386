/**
 * The scheduler of a cell and what every entry process contributes to it: the election, the
 * scheduler's term, and the row keys that the processes share.
 */
export * from './advice_pool.ts';
export * from './chunked_store.ts';
export * from './table_watcher.ts';
export * from './leadership.ts';
export * from './members.ts';
export * from './service.ts';
export * from './term.ts';
export { isAcceptedJob } from './_accepted_job.ts';
export type { TermOptions, OperatorState } from './_term_state.ts';
export {
  acceptedRow,
  acceptedTable,
  cancellationRow,
  claimRow,
  jobRow,
  jobsTable,
  progressRow,
  progressTable,
} from './rows.ts';
