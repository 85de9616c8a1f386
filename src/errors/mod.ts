/**
 * Error kinds, failures as values, and the HTTP response for each error kind.
 *
 * Every failure in the program is a {@link Failure} of one of these kinds. The table of responses
 * gives the HTTP status, whether the work may have run, and whether a later retry can succeed.
 */
export * from './failure.ts';
export * from './error_responses.ts';
