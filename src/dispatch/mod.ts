/**
 * Lookups, jobs, gangs and services from request to answer.
 */
export * from './dispatch.ts';
