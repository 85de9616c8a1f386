/**
 * What a process remembers: claims as a witness, and answers of its own finished lookups.
 */
import type { Clock } from '../clock/mod.ts';
import type { LookupAnswer } from '../schema/mod.ts';
import { claimWindowMs } from './quorum.ts';

const maxResponseBytes = 64 * 1024;
const maxTotalBytes = 16 * 1024 * 1024;

/** Claims of request ids, bounded in number. */
export interface ClaimStore {
  /** The claimant that holds the id: the given one if it is first; undefined when there is no room. */
  claim(key: string, claimant: string): string | undefined;
  withdraw(key: string, claimant: string): void;
  size(): number;
}

/** Kept answers, bounded in bytes. */
export interface ResponseCache {
  add(claimant: string, response: LookupAnswer): void;
  find(claimant: string): LookupAnswer | undefined;
  bytes(): number;
}

/** Claims are kept for twice the window; a younger one than the window is never dropped. */
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

/** Keeps the newest answers. */
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
