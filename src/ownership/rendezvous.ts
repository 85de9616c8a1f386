/**
 * Rendezvous hashing: each key ranks all members, so that a member that joins or leaves changes
 * only the assignment of its own keys. Pure functions.
 */

import { createHash } from 'node:crypto';

/** Returns the first 32 bits of the SHA-256 hash of a text; the same in every process. */
export function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Returns the members in their order of preference for a key.
 *
 * @example
 * rankMembers('workers/w1', ['m1', 'm2', 'm3'])[0];
 */
export function rankMembers(key: string, members: string[]): string[] {
  return members
    .map((member) => ({ member, weight: hashText(`${member}|${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}

/**
 * Returns the preferred member for a key, which is the first that {@link rankMembers} returns.
 *
 * @example
 * selectPreferred('partitions/7', ['m1', 'm2', 'm3']);
 */
export function selectPreferred(key: string, members: string[]): string | undefined {
  let best: { member: string; weight: number } | undefined;
  members.forEach((member) => {
    const weight = hashText(`${member}|${key}`);
    if (!best || weight > best.weight || (weight === best.weight && member < best.member)) {
      best = { member, weight };
    }
  });
  return best?.member;
}
