/**
 * Detection of repeated caller request ids by a quorum of witnesses.
 */
export * from './requests.ts';
export * from './make_requests.ts';
export * from './quorum.ts';
