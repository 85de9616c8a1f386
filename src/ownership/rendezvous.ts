/**
 * Rendezvous hashing: each key ranks all members, and only the keys of a member that comes or goes
 * change their first one. Pure functions.
 */

import { createHash } from 'node:crypto';

/** 32 bits of a hash of the text, the same in every process. */
export function hashText(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/**
 * Members in the order in which they are preferred for a key.
 *
 * @example
 * rank('workers/w1', ['m1', 'm2', 'm3'])[0];
 */
export function rank(key: string, members: string[]): string[] {
  return members
    .map((member) => ({ member, weight: hashText(`${member}|${key}`) }))
    .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
    .map(({ member }) => member);
}

/**
 * The member that is preferred for a key.
 *
 * @example
 * preferred('partitions/7', ['m1', 'm2', 'm3']);
 */
export function preferred(key: string, members: string[]): string | undefined {
  let best: { member: string; weight: number } | undefined;
  members.forEach((member) => {
    const weight = hashText(`${member}|${key}`);
    if (!best || weight > best.weight || (weight === best.weight && member < best.member)) {
      best = { member, weight };
    }
  });
  return best?.member;
}
