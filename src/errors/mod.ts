/**
 * The closed list of error kinds and the table from a kind to its answer.
 *
 * Every failure in the program is a {@link Failure} of one of these kinds. The table states the HTTP
 * status, whether the work certainly did not run, and whether a repeat later makes sense.
 */
export * from './failure.ts';
export * from './error_responses.ts';
