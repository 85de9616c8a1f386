/**
 * The operators' HTTP interface: settings, jobs, explanations, process state,
 * health and readiness.
 */
export * from './operators.ts';
