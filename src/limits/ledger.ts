/**
 * Tracks how many units of each team's limit this process holds and uses. No I/O.
 *
 * `held` never exceeds what the table row grants this process: a decrease is recorded before it is
 * written, an increase only after its write is known to have taken effect.
 */
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';

interface Account {
  held: number;
  used: number;
  /** Number of decreases by settings changes; keeps an older read from undoing one. */
  decreaseCount: number;
  /** Lowest number of free units since the last `collectIdle`. */
  minFree: number;
}

/** Held and used units of all teams in this process. */
export interface Ledger {
  /** Takes units into use; returns false and takes none if fewer are free. */
  acquire(team: string, count: number): boolean;
  release(team: string, count: number): void;
  /** Counts units of tasks that are already running, even if fewer are free. */
  addRunning(team: string, count: number): void;
  free(team: string): number;
  held(team: string): number;
  used(team: string): number;
  excess(team: string): number;
  /** Records a decrease that is about to be written. */
  decreaseHeld(team: string, held: number): void;
  /** Records a decrease that a settings change contains. */
  decreaseHeldBySettings(team: string, held: number): void;
  decreaseCount(team: string): number;
  /** Records the units in the row; only decreases if `decreaseCount` changed since the read. */
  setHeld(team: string, held: number, options: { decreaseCount: number }): void;
  /** Keeps the units of a worker's tasks out of use until the worker's new owner has moved them. */
  park(worker: string, units: Record<string, number>): void;
  unpark(worker: string): void;
  /** Returns the number of units that have been free since the last call. */
  collectIdle(team: string): number;
  teams(): string[];
  reset(): void;
}

/**
 * Makes an empty ledger.
 *
 * @example
 * const ledger = makeLedger({ invariants });
 */
export function makeLedger({ invariants }: { invariants: InvariantChecker }): Ledger {
  const accounts = new Map<string, Account>();
  const parked = new Map<string, Record<string, number>>();

  const accountOf = (team: string): Account => {
    const known = accounts.get(team);
    if (known) return known;
    const created = { held: 0, used: 0, decreaseCount: 0, minFree: 0 };
    accounts.set(team, created);
    return created;
  };
  const unitsInUse = (team: string) =>
    [...parked.values()].reduce((sum, units) => sum + (units[team] ?? 0), accountOf(team).used);
  const free = (team: string) => Math.max(0, accountOf(team).held - unitsInUse(team));
  const recordMinFree = (team: string) => {
    const entry = accountOf(team);
    entry.minFree = Math.min(entry.minFree, free(team));
  };

  return {
    acquire(team, count) {
      if (free(team) < count) return false;
      const entry = accountOf(team);
      entry.used += count;
      recordMinFree(team);
      invariants.check(
        Invariant.TeamLimit,
        entry.used <= entry.held,
        () => `team ${team} uses ${entry.used} units here and holds ${entry.held}`,
      );
      return true;
    },
    release(team, count) {
      const entry = accountOf(team);
      entry.used = Math.max(0, entry.used - count);
    },
    addRunning(team, count) {
      accountOf(team).used += count;
      recordMinFree(team);
    },
    free,
    held: (team) => accountOf(team).held,
    used: (team) => accountOf(team).used,
    excess: (team) => Math.max(0, unitsInUse(team) - accountOf(team).held),
    decreaseHeld(team, held) {
      const entry = accountOf(team);
      entry.held = Math.min(entry.held, held);
      recordMinFree(team);
    },
    decreaseHeldBySettings(team, held) {
      const entry = accountOf(team);
      entry.held = Math.min(entry.held, held);
      entry.decreaseCount += 1;
      recordMinFree(team);
    },
    decreaseCount: (team) => accountOf(team).decreaseCount,
    setHeld(team, held, { decreaseCount }) {
      const entry = accountOf(team);
      entry.held = entry.decreaseCount === decreaseCount ? held : Math.min(held, entry.held);
      recordMinFree(team);
    },
    park(worker, units) {
      parked.set(worker, units);
      Object.entries(units).forEach(([team, count]) => {
        const entry = accountOf(team);
        entry.used = Math.max(0, entry.used - count);
      });
    },
    unpark(worker) {
      parked.delete(worker);
    },
    collectIdle(team) {
      const entry = accountOf(team);
      const { minFree } = entry;
      entry.minFree = free(team);
      return minFree;
    },
    teams: () => [...accounts.keys()].sort(),
    reset() {
      accounts.clear();
      parked.clear();
    },
  };
}
