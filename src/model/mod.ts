/**
 * Types shared by the scheduler, the cell and the front end: jobs, workers, configuration and the
 * row store. They have no behaviour and do not depend on the formats of outside systems.
 */
export * from './advice.ts';
export * from './resources.ts';
export * from './job.ts';
export * from './worker.ts';
export * from './configuration.ts';
export * from './store.ts';
