/**
 * The ring of member ids, and what a member may conclude from the rows of its successors (design
 * section 4.3). Pure functions.
 */
import type { Member, Row } from '../schema/mod.ts';

/** Figures of the heartbeat. */
export const heartbeat = {
  periodMs: 800,
  timeoutMs: 600,
  /** How many successors on the ring each member watches. */
  watchedSuccessors: 3,
  /** A row that has not changed for this long belongs to a member that is to be expelled. */
  staleAfterMs: 3_000,
  /** A longer gap between own reads breaks an observation: nothing was seen in between. */
  maxReadGapMs: 2_000,
} as const;

/**
 * The next members on the ring of ids.
 *
 * @example
 * successors('b', ['a', 'b', 'c']); // ['c', 'a']
 */
export function successors(
  id: string,
  ids: string[],
  count: number = heartbeat.watchedSuccessors,
): string[] {
  const otherIds = ids.filter((other) => other !== id).sort();
  const nextIndex = otherIds.findIndex((other) => other > id);
  const firstIndex = nextIndex === -1 ? 0 : nextIndex;
  return [...otherIds.slice(firstIndex), ...otherIds.slice(0, firstIndex)].slice(0, count);
}

/** How long the row of each watched member has been seen unchanged, in an unbroken chain of reads. */
export interface Observations {
  lastReadAt: number;
  rows: Record<string, { version: number; since: number }>;
}

/** Observations before the first read, and after one that failed. */
export const emptyObservations: Observations = { lastReadAt: -Infinity, rows: {} };

/**
 * Adds the rows of one exchange, and names the members whose row is stale.
 *
 * @example
 * const { observations, stale } = observe(noObservations, { begunAt: 0, endedAt: 2, rows });
 */
export function updateObservations(
  current: Observations,
  { startedAt, endedAt, rows }: { startedAt: number; endedAt: number; rows: Row[] },
): { observations: Observations; stale: Row[] } {
  const isContiguous = startedAt - current.lastReadAt <= heartbeat.maxReadGapMs;
  const present = rows.filter((row) => row.version > 0);
  const observed = Object.fromEntries(
    present.map(({ key, version }) => {
      const previous = isContiguous ? current.rows[key] : undefined;
      return [key, previous?.version === version ? previous : { version, since: endedAt }];
    }),
  );
  const stale = present.filter(({ key }) => {
    const since = observed[key]?.since ?? endedAt;
    return startedAt - since >= heartbeat.staleAfterMs;
  });
  return { observations: { lastReadAt: endedAt, rows: observed }, stale };
}

/**
 * Says whether a member is full: every older member has seen its joining.
 *
 * @example
 * isFull('b', members);
 */
export function isFullMember(id: string, members: Member[]): boolean {
  const self = members.find((member) => member.id === id);
  if (!self) return false;
  return members.every((member) => member.joined >= self.joined || member.seen >= self.joined);
}
