/**
 * The operators' HTTP interface: settings, jobs, explanations, state, health and readiness.
 */
export * from './operators.ts';
