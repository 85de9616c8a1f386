/**
 * Arithmetic on allotment rows as pure functions. Each keeps the sum of the held units at or below
 * the limit.
 */
import type { Allotment } from '../schema/mod.ts';

const maxChunkUnits = 64;

/**
 * Units held by all members.
 *
 * @example
 * heldByAll({ limit: 5, held: { a: 2, b: 1 } }); // 3
 */
export function totalHeld({ held }: Allotment): number {
  return Object.values(held).reduce((sum, count) => sum + count, 0);
}

/**
 * How many units a member borrows at a time: half of an equal part, and at least one.
 *
 * @example
 * chunkSize(3, 8); // 1
 */
export function chunkSize(limit: number, members: number): number {
  return Math.max(1, Math.min(maxChunkUnits, Math.floor(limit / (2 * Math.max(1, members)))));
}

function withHeld(allotment: Allotment, changes: Record<string, number>): Allotment {
  const held = Object.fromEntries(
    Object.entries({ ...allotment.held, ...changes }).filter(([, count]) => count > 0),
  );
  return { ...allotment, held };
}

/**
 * Lends units that nobody holds; fewer than asked for when there are fewer.
 *
 * @example
 * borrowUnits({ limit: 3, held: { a: 2 } }, { member: 'b', count: 4 }); // b holds 1
 */
export function borrowUnits(
  allotment: Allotment,
  { member, count }: { member: string; count: number },
): Allotment {
  const available = Math.max(0, allotment.limit - totalHeld(allotment));
  const before = allotment.held[member] ?? 0;
  return withHeld(allotment, { [member]: before + Math.min(available, Math.max(0, count)) });
}

/**
 * Returns units to the team.
 *
 * @example
 * returnUnits({ limit: 3, held: { a: 2 } }, { member: 'a', count: 1 });
 */
export function returnUnits(
  allotment: Allotment,
  { member, count }: { member: string; count: number },
): Allotment {
  const before = allotment.held[member] ?? 0;
  return withHeld(allotment, { [member]: Math.max(0, before - Math.max(0, count)) });
}

/**
 * Moves units between members. When the sources hold fewer, because the limit was lowered while they
 * were away, fewer are moved.
 *
 * @example
 * moveUnits({ limit: 3, held: { a: 2 } }, { from: ['a'], to: 'b', count: 2 });
 */
export function moveUnits(
  allotment: Allotment,
  { from, to, count }: { from: string[]; to: string; count: number },
): Allotment {
  let missing = count;
  let moved = allotment;
  from
    .filter((source) => source !== to)
    .forEach((source) => {
      const moving = Math.min(missing, moved.held[source] ?? 0);
      missing -= moving;
      moved = withHeld(moved, {
        [source]: (moved.held[source] ?? 0) - moving,
        [to]: (moved.held[to] ?? 0) + moving,
      });
    });
  return moved;
}

/**
 * The allotment after a change of the limit. A lower limit reduces what each member holds in
 * proportion; fractions go to the largest remainders, ties to the smaller member id.
 *
 * @example
 * changeLimit({ limit: 10, held: { a: 6, b: 4 } }, 5); // { limit: 5, held: { a: 3, b: 2 } }
 */
export function changeLimit(allotment: Allotment, limit: number): Allotment {
  const total = totalHeld(allotment);
  if (total <= limit) return { ...allotment, limit };
  const parts = Object.entries(allotment.held).map(([member, count]) => {
    const exact = (count * limit) / total;
    return { member, quotient: Math.floor(exact), remainder: exact - Math.floor(exact) };
  });
  let unassigned = limit - parts.reduce((sum, { quotient }) => sum + quotient, 0);
  const held: Record<string, number> = {};
  parts
    .sort((a, b) => b.remainder - a.remainder || (a.member < b.member ? -1 : 1))
    .forEach(({ member, quotient }) => {
      held[member] = quotient + (unassigned > 0 ? 1 : 0);
      unassigned -= 1;
    });
  return withHeld({ limit, held: {} }, held);
}

/**
 * The same for a row that may not exist yet; it is written then, too.
 *
 * @example
 * reallot(undefined, 5); // { limit: 5, held: {} }
 */
export function reallot(current: Allotment | undefined, limit: number): Allotment {
  return changeLimit(current ?? { limit, held: {} }, limit);
}

/**
 * The allotment rows that a settings change has to write: one for each team whose limit it changes,
 * also where the row does not exist yet, since a process with older settings could otherwise create
 * it with the old limit. A removed team gets limit 0. The transaction checks the version of each row,
 * 0 for one that does not exist.
 *
 * @example
 * changeLimits({ before: { mill: 10 }, after: { mill: 5 }, rows: { mill: row.value } });
 */
export function changeLimits({
  before,
  after,
  rows,
}: {
  before: Record<string, number>;
  after: Record<string, number>;
  rows: Record<string, Allotment | undefined>;
}): Record<string, Allotment> {
  const teams = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return Object.fromEntries(
    teams
      .filter((team) => before[team] !== after[team])
      .map((team) => [team, reallot(rows[team], after[team] ?? 0)]),
  );
}
