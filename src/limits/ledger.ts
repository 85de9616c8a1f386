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
  decreaseCount: number;
  /** Least number of free units since the last look for idle ones. */
  minFree: number;
}

/** Local accounts of all teams. */
export interface Ledger {
  acquire(team: string, count: number): boolean;
  release(team: string, count: number): void;
  addRunning(team: string, count: number): void;
  free(team: string): number;
  held(team: string): number;
  used(team: string): number;
  excess(team: string): number;
  /** Notes a decrease that is about to be written. */
  decreaseHeld(team: string, held: number): void;
  /** Notes a lowered limit that a settings change carries. */
  decreaseHeldBySettings(team: string, held: number): void;
  decreaseCount(team: string): number;
  /** Notes what the row says, unless a settings change has lowered it since `lowerings` was read. */
  setHeld(team: string, held: number, options: { decreaseCount: number }): void;
  /** Keeps the units of a worker's tasks out of use until its new owner has moved them. */
  park(worker: string, units: Record<string, number>): void;
  unpark(worker: string): void;
  /** Units that stayed free since the last call. */
  collectIdle(team: string): number;
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
