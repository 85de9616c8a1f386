/**
 * Detects repeated request ids of callers with a quorum of witnesses.
 */
export * from './requests.ts';
export * from './make_requests.ts';
export * from './quorum.ts';
