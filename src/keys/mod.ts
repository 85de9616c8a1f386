/**
 * API keys of teams and operators: issuing, salted hashes and verification.
 *
 * A key is shown once, when it is issued; the settings store only its salted scrypt hash. A
 * verifier runs scrypt once per key and process and caches the result, but always looks the key up
 * in the current settings first, so that a revoked key is rejected immediately.
 */
export * from './issue.ts';
export * from './verify.ts';
