/**
 * The types that the scheduler, the cell and the front end share: jobs, workers, configuration and
 * the row store. They carry no behaviour and no format of an outside system.
 */
export * from './advice.ts';
export * from './resources.ts';
export * from './job.ts';
export * from './worker.ts';
export * from './configuration.ts';
export * from './store.ts';
