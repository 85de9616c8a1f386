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
  watched: 3,
  /** A row that has not changed for this long belongs to a member that is to be expelled. */
  staleMs: 3_000,
  /** A longer gap between own reads breaks an observation: nothing was seen in between. */
  maxGapMs: 2_000,
} as const;

/**
 * The next members on the ring of ids.
 *
 * @example
 * successors('b', ['a', 'b', 'c']); // ['c', 'a']
 */
export function successors(id: string, ids: string[], count: number = heartbeat.watched): string[] {
  const ring = ids.filter((other) => other !== id).sort();
  const after = ring.findIndex((other) => other > id);
  const first = after === -1 ? 0 : after;
  return [...ring.slice(first), ...ring.slice(0, first)].slice(0, count);
}

/** How long the row of each watched member has been seen unchanged, in an unbroken chain of reads. */
export interface Observations {
  lastReadAt: number;
  rows: Record<string, { version: number; since: number }>;
}

/** Observations before the first read, and after one that failed. */
export const noObservations: Observations = { lastReadAt: -Infinity, rows: {} };

/**
 * Adds the rows of one exchange, and names the members whose row is stale.
 *
 * @example
 * const { observations, stale } = observe(noObservations, { begunAt: 0, endedAt: 2, rows });
 */
export function observe(
  before: Observations,
  { begunAt, endedAt, rows }: { begunAt: number; endedAt: number; rows: Row[] },
): { observations: Observations; stale: Row[] } {
  const unbroken = begunAt - before.lastReadAt <= heartbeat.maxGapMs;
  const present = rows.filter((row) => row.version > 0);
  const next = Object.fromEntries(
    present.map(({ key, version }) => {
      const seen = unbroken ? before.rows[key] : undefined;
      return [key, seen?.version === version ? seen : { version, since: endedAt }];
    }),
  );
  const stale = present.filter(({ key }) => {
    const since = next[key]?.since ?? endedAt;
    return begunAt - since >= heartbeat.staleMs;
  });
  return { observations: { lastReadAt: endedAt, rows: next }, stale };
}

/**
 * Says whether a member is full: every older member has seen its joining.
 *
 * @example
 * isFull('b', members);
 */
export function isFull(id: string, members: Member[]): boolean {
  const self = members.find((member) => member.id === id);
  if (!self) return false;
  return members.every((member) => member.joined >= self.joined || member.seen >= self.joined);
}
