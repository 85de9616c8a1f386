/**
 * Keys of teams and operators: issue, salted hashes and verification.
 *
 * A key is shown once, when it is issued; the settings hold only its salted scrypt hash. A verifier
 * runs scrypt once for each key and process and answers from its cache after that, but always looks
 * the key up in the settings in force first, so that a withdrawn key fails at once.
 */
export * from './issue.ts';
export * from './verify.ts';
