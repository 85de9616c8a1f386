/**
 * The part of this process in the succession of the scheduler: how soon it claims, whether it watches
 * the scheduler closely, and whether it hands the role over to a host with more processors.
 *
 * Only the best few candidates watch the scheduler closely, so that the load of watching it does not
 * grow with the number of hosts.
 */
import { rankCandidates } from '../cell/mod.ts';
import type { Claim, Member } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';

/** The part of this process in the succession. */
export interface Candidacy {
  /** Delay before a claim, in milliseconds, so that preferred hosts claim first. */
  claimDelayMs(): number;
  /** Whether this process is one of the candidates that would claim first. */
  isCandidate(): boolean;
  /** The best member if it has considerably more processors than this one; undefined otherwise. */
  betterMember(): Member | undefined;
}

const claimDelayPerRankMs = 50;
const closeWatchers = 5;
const rankingAgeMs = 1_000;
/** A hand-over interrupts scheduling, so that a slightly larger host does not justify it. */
const handOverFactor = 1.5;

/**
 * Makes the candidacy of a process.
 *
 * @example
 * const candidacy = makeCandidacy({ clock, name: self.name, members, claim: leadership.claim });
 */
export function makeCandidacy(options: {
  clock: Clock;
  /** Name of this process. */
  name: string;
  members(): Member[];
  claim(): Claim | undefined;
}): Candidacy {
  const { clock, name, members } = options;
  let cached = { rank: 0, key: '', atMs: -Infinity };

  function computeRank(claim: Claim | undefined): number {
    const others = members().filter((member) => member.name !== claim?.name);
    const isPlanned = claim?.instance === '';
    const rank = rankCandidates(others, { isPlanned }).findIndex((member) => member.name === name);
    // The holder of the previous claim comes last: it has resigned, or it has failed before.
    return rank === -1 ? others.length : rank;
  }

  function getRank(): number {
    const claim = options.claim();
    const key = `${claim?.name} ${claim?.instance}`;
    const nowMs = clock.now();
    if (key !== cached.key || nowMs - cached.atMs > rankingAgeMs) {
      cached = { rank: computeRank(claim), key, atMs: nowMs };
    }
    return cached.rank;
  }

  return {
    claimDelayMs: () => getRank() * claimDelayPerRankMs,
    isCandidate: () => getRank() < closeWatchers,
    betterMember() {
      const all = members();
      const own = all.find((member) => member.name === name);
      const [best] = rankCandidates(all, { isPlanned: true });
      const isBetter = own && best && best.processors >= own.processors * handOverFactor;
      return isBetter ? best : undefined;
    },
  };
}
