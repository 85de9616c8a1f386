/**
 * What a process holds and uses of each team's limit, as local facts without I/O.
 *
 * `held` never exceeds what the table row gives this process: a decrease is noted before it is
 * written, an increase after its write is known to have taken effect.
 */
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';

interface Account {
  held: number;
  used: number;
  /** Counts lowerings by settings changes, so that an older read cannot undo one. */
  lowerings: number;
  /** Least number of free units since the last look for idle ones. */
  leastFree: number;
}

/** Local accounts of all teams. */
export interface Ledger {
  take(team: string, count: number): boolean;
  giveBack(team: string, count: number): void;
  adopt(team: string, count: number): void;
  free(team: string): number;
  held(team: string): number;
  used(team: string): number;
  excess(team: string): number;
  /** Notes a decrease that is about to be written. */
  lower(team: string, held: number): void;
  /** Notes a lowered limit that a settings change carries. */
  lowerByChange(team: string, held: number): void;
  lowerings(team: string): number;
  /** Notes what the row says, unless a settings change has lowered it since `lowerings` was read. */
  set(team: string, held: number, options: { lowerings: number }): void;
  /** Keeps the units of a worker's tasks out of use until its new owner has moved them. */
  park(worker: string, units: Record<string, number>): void;
  unpark(worker: string): void;
  /** Units that stayed free since the last call. */
  idle(team: string): number;
  teams(): string[];
  reset(): void;
}

/**
 * Makes empty accounts.
 *
 * @example
 * const ledger = makeLedger({ invariants });
 */
export function makeLedger({ invariants }: { invariants: InvariantChecker }): Ledger {
  const accounts = new Map<string, Account>();
  const parked = new Map<string, Record<string, number>>();

  const account = (team: string): Account => {
    const known = accounts.get(team);
    if (known) return known;
    const fresh = { held: 0, used: 0, lowerings: 0, leastFree: 0 };
    accounts.set(team, fresh);
    return fresh;
  };
  const inUse = (team: string) =>
    [...parked.values()].reduce((sum, units) => sum + (units[team] ?? 0), account(team).used);
  const free = (team: string) => Math.max(0, account(team).held - inUse(team));
  const noteFree = (team: string) => {
    const entry = account(team);
    entry.leastFree = Math.min(entry.leastFree, free(team));
  };

  return {
    take(team, count) {
      if (free(team) < count) return false;
      const entry = account(team);
      entry.used += count;
      noteFree(team);
      invariants.check(
        Invariant.TeamLimit,
        entry.used <= entry.held,
        () => `team ${team} uses ${entry.used} units here and holds ${entry.held}`,
      );
      return true;
    },
    giveBack(team, count) {
      const entry = account(team);
      entry.used = Math.max(0, entry.used - count);
    },
    adopt(team, count) {
      account(team).used += count;
      noteFree(team);
    },
    free,
    held: (team) => account(team).held,
    used: (team) => account(team).used,
    excess: (team) => Math.max(0, inUse(team) - account(team).held),
    lower(team, held) {
      const entry = account(team);
      entry.held = Math.min(entry.held, held);
      noteFree(team);
    },
    lowerByChange(team, held) {
      const entry = account(team);
      entry.held = Math.min(entry.held, held);
      entry.lowerings += 1;
      noteFree(team);
    },
    lowerings: (team) => account(team).lowerings,
    set(team, held, { lowerings }) {
      const entry = account(team);
      entry.held = entry.lowerings === lowerings ? held : Math.min(held, entry.held);
      noteFree(team);
    },
    park(worker, units) {
      parked.set(worker, units);
      Object.entries(units).forEach(([team, count]) => {
        const entry = account(team);
        entry.used = Math.max(0, entry.used - count);
      });
    },
    unpark(worker) {
      parked.delete(worker);
    },
    idle(team) {
      const entry = account(team);
      const { leastFree } = entry;
      entry.leastFree = free(team);
      return leastFree;
    },
    teams: () => [...accounts.keys()].sort(),
    reset() {
      accounts.clear();
      parked.clear();
    },
  };
}
