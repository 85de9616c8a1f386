/**
 * What a process remembers: claims as a witness, and answers of its own finished lookups.
 */
import type { Clock } from '../clock/mod.ts';
import type { LookupAnswer } from '../schema/mod.ts';
import { windowMs } from './quorum.ts';

const maxAnswerBytes = 64 * 1024;
const maxAnswersBytes = 16 * 1024 * 1024;

/** Claims of request ids, bounded in number. */
export interface ClaimMemory {
  /** The claimant that holds the id: the given one if it is first; undefined when there is no room. */
  claim(key: string, claimant: string): string | undefined;
  withdraw(key: string, claimant: string): void;
  size(): number;
}

/** Kept answers, bounded in bytes. */
export interface AnswerMemory {
  keep(claimant: string, answer: LookupAnswer): void;
  find(claimant: string): LookupAnswer | undefined;
  bytes(): number;
}

/** Claims are kept for twice the window; a younger one than the window is never dropped. */
export function makeClaimMemory(options: { clock: Clock; capacity: number }): ClaimMemory {
  const { clock, capacity } = options;
  const claims = new Map<string, { claimant: string; at: number }>();
  const dropOld = () => {
    const now = clock.now();
    for (const [key, { at }] of claims) {
      const age = now - at;
      if (age < windowMs * 2 && (claims.size < capacity || age < windowMs)) break;
      claims.delete(key);
    }
  };
  return {
    claim(key, claimant) {
      dropOld();
      const known = claims.get(key);
      if (known) return known.claimant;
      if (claims.size >= capacity) return undefined;
      claims.set(key, { claimant, at: clock.now() });
      return claimant;
    },
    withdraw(key, claimant) {
      if (claims.get(key)?.claimant === claimant) claims.delete(key);
    },
    size: () => claims.size,
  };
}

/** Keeps the newest answers. */
export function makeAnswerMemory(): AnswerMemory {
  const answers = new Map<string, { answer: LookupAnswer; bytes: number }>();
  let total = 0;
  return {
    keep(claimant, answer) {
      const bytes = Buffer.byteLength(JSON.stringify(answer));
      if (bytes > maxAnswerBytes) return;
      answers.set(claimant, { answer, bytes });
      total += bytes;
      for (const [oldest, { bytes: size }] of answers) {
        if (total <= maxAnswersBytes) break;
        answers.delete(oldest);
        total -= size;
      }
    },
    find: (claimant) => answers.get(claimant)?.answer,
    bytes: () => total,
  };
}
