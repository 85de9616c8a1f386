/**
 * The quorum rule for request ids, without I/O. The witnesses of an id are the first three members
 * by rendezvous hash, and two of them must respond "first": the quorums of two claims then always
 * share a witness. After a membership change the witnesses of the former views must agree as well.
 */
import { rankMembers } from '../ownership/mod.ts';
import type { FormerView, WitnessAnswer } from '../schema/mod.ts';

/** Member ids of the witnesses of one request id in one view. */
export type WitnessSet = string[];

const witnessCount = 3;

/** How long claims are kept at least, and how long witnesses of a former view must agree. */
export const claimWindowMs = 60_000;

/**
 * Returns the witness sets that must each reach a quorum: that of the current members and those of
 * the views that were replaced within the window.
 *
 * @example
 * witnessSets('millers/r1', { members: ['m1', 'm2', 'm3'], former: [] });
 */
export function witnessSets(
  key: string,
  { members: current, former }: { members: string[]; former: FormerView[] },
): WitnessSet[] {
  const recentViews = former.filter(
    // A process has an empty view before it joins and makes no claims in it.
    ({ members, replacedAgoMs }) => members.length > 0 && replacedAgoMs < claimWindowMs,
  );
  const memberLists = [current, ...recentViews.map(({ members }) => members)];
  const sets = memberLists.map((members) =>
    rankMembers(`requests/${key}`, members).slice(0, witnessCount),
  );
  return [...new Map(sets.map((set) => [set.join(' '), set])).values()];
}

/** Verdicts so far by witness; undefined for a witness that failed. */
export type Verdicts = ReadonlyMap<string, WitnessAnswer['verdict'] | undefined>;

/**
 * Decides a claim by the verdicts so far; undefined while more of them are needed.
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
  // After a view change a pending response may still be "repeat", so all of them are needed.
  if (hasQuorum && (!isPending || sets.length === 1)) return 'first';
  return isPending ? undefined : 'unavailable';
}
