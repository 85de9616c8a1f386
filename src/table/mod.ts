/**
 * The platform's transactional table service: its client and the writer lane.
 */
export * from './table.ts';
export * from './dialects.ts';
export * from './memory.ts';
export * from './retry_budget.ts';
export * from './writer.ts';
export type { TableClient, TableOptions } from './_http.ts';
