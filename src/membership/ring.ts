/**
 * The ring of member ids, and failure detection from the rows of a member's successors (design
 * section 4.3). Pure functions.
 */
import type { Member, Row } from '../schema/mod.ts';

/** Timing of heartbeats and failure detection. */
export const heartbeat = {
  periodMs: 800,
  timeoutMs: 600,
  /** Number of successors on the ring that each member watches. */
  watchedSuccessors: 3,
  /** A member whose row has not changed for this long is expelled. */
  staleAfterMs: 3_000,
  /** A longer gap between two reads restarts the observation, since changes could be missed. */
  maxReadGapMs: 2_000,
} as const;

/**
 * Returns the next members on the ring of ids.
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

/** Since when each watched row has been unchanged in a sequence of reads without long gaps. */
export interface Observations {
  lastReadAt: number;
  rows: Record<string, { version: number; since: number }>;
}

/** Observations before the first read and after a failed one. */
export const emptyObservations: Observations = { lastReadAt: -Infinity, rows: {} };

/**
 * Adds the rows of one exchange and returns the rows that are stale.
 *
 * @example
 * updateObservations(emptyObservations, { startedAt: 0, endedAt: 2, rows });
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
 * Whether a member is full: every older member has seen that it joined.
 *
 * @example
 * isFullMember('b', members);
 */
export function isFullMember(id: string, members: Member[]): boolean {
  const self = members.find((member) => member.id === id);
  if (!self) return false;
  return members.every((member) => member.joined >= self.joined || member.seen >= self.joined);
}
