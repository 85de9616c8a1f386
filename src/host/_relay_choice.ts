/**
 * Chooses which other entry process makes the scheduler's calls to a worker.
 *
 * The choice depends on the members and the number of workers only, so that a successor of the scheduler
 * mostly finds the connections of its predecessor's relays open.
 */
import { createHash } from 'node:crypto';

import type { Member } from '../cell/mod.ts';

/** Below this number of workers, the scheduler makes all calls itself. */
const minRelayedWorkers = 48;
/** A relay serves this many workers, so that the messages of one turn share few writes. */
const workersPerRelay = 24;

/** Returns a number for a text, evenly distributed. */
function computeScore(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE();
}

/**
 * Chooses the relays: the members with the most processors, in an order that stays the same while their
 * load changes.
 */
export function chooseRelays(members: Member[], workerCount: number): Member[] {
  if (workerCount < minRelayedWorkers) return [];
  const count = Math.ceil(workerCount / workersPerRelay);
  return members
    .map((member) => ({ member, score: computeScore(member.name) }))
    .sort((a, b) => b.member.processors - a.member.processors || b.score - a.score)
    .slice(0, count)
    .map(({ member }) => member);
}

/**
 * Returns the relay of a worker, by rendezvous hashing: if a relay is lost, only its workers change.
 *
 * @example
 * findRelay(chooseRelays(members, 380), 'i-7f3a91c2');
 */
export function findRelay(relays: Member[], workerId: string): Member | undefined {
  let best: Member | undefined;
  let bestScore = -1;
  relays.forEach((relay) => {
    const score = computeScore(`${relay.name} ${workerId}`);
    if (score <= bestScore) return;
    best = relay;
    bestScore = score;
  });
  return best;
}
