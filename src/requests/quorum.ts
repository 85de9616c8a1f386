/**
 * The quorum rule for caller request ids, without I/O. The witnesses of an id are the first three
 * members by rendezvous hash, and two of them must say "first": two claims then always meet at one
 * witness. After a membership change the witnesses of the former views must agree as well.
 */
import { rank } from '../ownership/mod.ts';
import type { FormerView, WitnessAnswer } from '../schema/mod.ts';

/** Witnesses of one id in one view. */
export type WitnessSet = string[];

const witnessCount = 3;

/** How long claims are remembered at least, and how long former views must agree. */
export const claimWindowMs = 60_000;

/**
 * The witness sets that must each reach a quorum: those of the present members and of every former
 * view that was replaced within the window.
 *
 * @example
 * witnessSets('millers/r1', { members: ['m1', 'm2', 'm3'], former: [] });
 */
export function witnessSets(
  key: string,
  { members: current, former }: { members: string[]; former: FormerView[] },
): WitnessSet[] {
  const recentViews = former.filter(
    // Nobody claims in the empty view that a process has before it joins.
    ({ members, replacedAgoMs }) => members.length > 0 && replacedAgoMs < claimWindowMs,
  );
  const memberLists = [current, ...recentViews.map(({ members }) => members)];
  const sets = memberLists.map((members) =>
    rank(`requests/${key}`, members).slice(0, witnessCount),
  );
  return [...new Map(sets.map((set) => [set.join(' '), set])).values()];
}

/** Answers so far; a witness that failed has an undefined answer. */
export type Verdicts = ReadonlyMap<string, WitnessAnswer['verdict'] | undefined>;

/**
 * Decides on the answers so far; undefined while more of them are needed.
 *
 * @example
 * decideClaim([['m1', 'm2', 'm3']], new Map([['m1', 'first'], ['m2', 'first']])); // 'first'
 */
export function decideClaim(
  sets: WitnessSet[],
  verdicts: Verdicts,
): 'first' | 'repeat' | 'unavailable' | undefined {
  if ([...verdicts.values()].includes('repeat')) return 'repeat';
  const isPending = sets.flat().some((witness) => !verdicts.has(witness));
  const hasQuorum = sets.every((set) => {
    const firstCount = set.filter((witness) => verdicts.get(witness) === 'first').length;
    return firstCount >= Math.floor(set.length / 2) + 1;
  });
  // While views change, a "repeat" that is still on its way must be heard.
  if (hasQuorum && (!isPending || sets.length === 1)) return 'first';
  return isPending ? undefined : 'unavailable';
}
