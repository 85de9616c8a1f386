/**
 * The platform's transactional table service: its clients and the writer.
 */
export * from './table.ts';
export * from './dialects.ts';
export * from './memory.ts';
export * from './retry_budget.ts';
export * from './writer.ts';
export type { TableClient, TableOptions } from './_http.ts';
