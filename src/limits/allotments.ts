/**
 * Arithmetic on allotment rows as pure functions. No function lets the sum of the held units exceed
 * the limit.
 */
import type { Allotment } from '../schema/mod.ts';

const maxChunkUnits = 64;

/**
 * Returns the number of units that all members hold together.
 *
 * @example
 * totalHeld({ limit: 5, held: { a: 2, b: 1 } }); // 3
 */
export function totalHeld({ held }: Allotment): number {
  return Object.values(held).reduce((sum, count) => sum + count, 0);
}

/**
 * Returns how many units a member borrows at a time: half of an equal share of the limit, at least
 * 1 and at most 64.
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
 * Gives a member units that no member holds; fewer than requested if fewer are available.
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
 * Takes units from a member, so that any member can borrow them.
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
 * Moves units between members. Moves fewer than requested if the sources hold fewer, which happens
 * when the limit was lowered while they were unreachable.
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
      const movable = Math.min(missing, moved.held[source] ?? 0);
      missing -= movable;
      moved = withHeld(moved, {
        [source]: (moved.held[source] ?? 0) - movable,
        [to]: (moved.held[to] ?? 0) + movable,
      });
    });
  return moved;
}

/**
 * Changes the limit of an allotment. A lower limit reduces the units of each member in proportion;
 * left-over units go to the largest remainders, ties to the smaller member id.
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
 * Changes the limit of a row that may not exist yet; a missing row is created.
 *
 * @example
 * setLimit(undefined, 5); // { limit: 5, held: {} }
 */
export function setLimit(current: Allotment | undefined, limit: number): Allotment {
  return changeLimit(current ?? { limit, held: {} }, limit);
}

/**
 * Returns the allotment rows that a settings change has to write: one for each team whose limit
 * changes. Missing rows are included, because a process with older settings could otherwise create
 * them with the old limit. A removed team gets limit 0. The transaction has to check the version of
 * each row, 0 for a missing one.
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
      .map((team) => [team, setLimit(rows[team], after[team] ?? 0)]),
  );
}
