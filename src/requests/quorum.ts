/**
 * The quorum rule for caller request ids, without I/O. The witnesses of an id are the first three
 * members by rendezvous hash, and two of them must say "first": two claims then always meet at one
 * witness. After a membership change the witnesses of the former views must agree as well.
 */
import type { View } from '../membership/mod.ts';
import { rank } from '../ownership/mod.ts';
import type { WitnessAnswer } from '../schema/mod.ts';

/** Witnesses of one id in one view. */
export type WitnessSet = string[];

const witnessCount = 3;

/** How long claims are remembered at least, and how long former views must agree. */
export const windowMs = 60_000;

/**
 * The witness sets that must each reach a quorum. A process that joined within the window doesn't
 * know the former views: it asks the witnesses among the members up to each join before.
 *
 * @example
 * witnessSets('millers/r1', { view, recent: membership.recentViews(), joinedAgoMs: 90_000 });
 */
export function witnessSets(
  key: string,
  options: {
    view: View;
    recent: { view: View; replacedAgoMs: number }[];
    joinedAgoMs: number;
  },
): WitnessSet[] {
  const { view, recent, joinedAgoMs } = options;
  const groups = [
    view,
    ...recent.filter((one) => one.replacedAgoMs < windowMs).map((one) => one.view),
  ].map(({ members }) => members.map(({ id }) => id));
  if (joinedAgoMs < windowMs) {
    const versions = new Set(view.members.map(({ joined }) => joined));
    versions.forEach((version) =>
      groups.push(view.members.filter(({ joined }) => joined <= version).map(({ id }) => id)),
    );
  }
  const sets = groups.map((members) => rank(`requests/${key}`, members).slice(0, witnessCount));
  return [...new Map(sets.map((set) => [set.join(' '), set])).values()];
}

/** Answers so far; a witness that failed has an undefined answer. */
export type Answers = ReadonlyMap<string, WitnessAnswer['verdict'] | undefined>;

/**
 * Decides on the answers so far; undefined while more of them are needed.
 *
 * @example
 * decideClaim([['m1', 'm2', 'm3']], new Map([['m1', 'first'], ['m2', 'first']])); // 'first'
 */
export function decideClaim(
  sets: WitnessSet[],
  answers: Answers,
): 'first' | 'repeat' | 'unavailable' | undefined {
  if ([...answers.values()].includes('repeat')) return 'repeat';
  const open = sets.flat().some((witness) => !answers.has(witness));
  const quorate = sets.every((set) => {
    const firsts = set.filter((witness) => answers.get(witness) === 'first').length;
    return firsts >= Math.floor(set.length / 2) + 1;
  });
  // While views change, a "repeat" that is still on its way must be heard.
  if (quorate && (!open || sets.length === 1)) return 'first';
  return open ? undefined : 'unavailable';
}
