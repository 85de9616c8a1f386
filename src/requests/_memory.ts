/**
 * In-memory stores of a process: the claims that it recorded as a witness, and the responses of its
 * own finished lookups.
 */
import type { Clock } from '../clock/mod.ts';
import type { LookupAnswer } from '../schema/mod.ts';
import { claimWindowMs } from './quorum.ts';

const maxResponseBytes = 64 * 1024;
const maxTotalBytes = 16 * 1024 * 1024;

/** A store for claims of request ids with a maximum number of entries. */
export interface ClaimStore {
  /** Returns the first claimant, possibly the given one; undefined if the store is full. */
  claim(key: string, claimant: string): string | undefined;
  withdraw(key: string, claimant: string): void;
  size(): number;
}

/** A cache for responses with a maximum size in bytes. */
export interface ResponseCache {
  add(claimant: string, response: LookupAnswer): void;
  find(claimant: string): LookupAnswer | undefined;
  bytes(): number;
}

/** Makes a store that keeps claims for up to twice the window, and at least for the window. */
export function makeClaimStore(options: { clock: Clock; capacity: number }): ClaimStore {
  const { clock, capacity } = options;
  const claims = new Map<string, { claimant: string; claimedAt: number }>();
  const dropExpired = () => {
    const now = clock.now();
    for (const [key, { claimedAt }] of claims) {
      const age = now - claimedAt;
      if (age < claimWindowMs * 2 && (claims.size < capacity || age < claimWindowMs)) break;
      claims.delete(key);
    }
  };
  return {
    claim(key, claimant) {
      dropExpired();
      const known = claims.get(key);
      if (known) return known.claimant;
      if (claims.size >= capacity) return undefined;
      claims.set(key, { claimant, claimedAt: clock.now() });
      return claimant;
    },
    withdraw(key, claimant) {
      if (claims.get(key)?.claimant === claimant) claims.delete(key);
    },
    size: () => claims.size,
  };
}

/** Makes a cache that keeps the newest responses. */
export function makeResponseCache(): ResponseCache {
  const responses = new Map<string, { response: LookupAnswer; bytes: number }>();
  let totalBytes = 0;
  return {
    add(claimant, response) {
      const bytes = Buffer.byteLength(JSON.stringify(response));
      if (bytes > maxResponseBytes) return;
      responses.set(claimant, { response, bytes });
      totalBytes += bytes;
      for (const [oldest, { bytes: size }] of responses) {
        if (totalBytes <= maxTotalBytes) break;
        responses.delete(oldest);
        totalBytes -= size;
      }
    },
    find: (claimant) => responses.get(claimant)?.response,
    bytes: () => totalBytes,
  };
}
