/**
 * The platform's transactional table service: its client and the writer lane.
 */
export * from './table.ts';
