/**
 * Settings, limits and ownership of one process in memory, for tests of the parts that use them.
 */
import { Right } from 'purify-ts';

import type { Limits } from '../limits/mod.ts';
import type { OwnershipObserver } from '../ownership/mod.ts';
import type { Upstream } from '../schema/mod.ts';
import type { Fleet, Settings, Team } from '../settings/mod.ts';

/**
 * An upstream with 8 slots.
 *
 * @example
 * fakeUpstream('w1', { rack: 'r2' });
 */
export function fakeUpstream(id: string, changes: Partial<Upstream> = {}): Upstream {
  return {
    id,
    address: '127.0.0.1',
    port: 1,
    dataCentre: 'dc1',
    region: 'north',
    rack: 'r1',
    capacity: { processors: 16, memoryMb: 32_000, accelerators: 0, slots: 8 },
    connections: 60,
    leaving: false,
    fencing: true,
    ...changes,
  };
}

/**
 * A team with one queue for every kind of work.
 *
 * @example
 * fakeTeam('millers', 20);
 */
export function fakeTeam(name: string, limit: number): Team {
  const kinds: Team['queues'][string]['kinds'] = ['lookup', 'batch', 'gang', 'service'];
  const queue = { name: 'main', kinds, open: false, maxWaiting: 1_000, dataCentres: [] };
  return { name, share: 1, limit, keys: [], queues: { main: queue } };
}

/** Settings that a test changes at will. */
export interface FakeSettings extends Settings {
  change(edit: (fleet: Fleet) => void): void;
}

/**
 * Makes settings with the upstreams and teams.
 *
 * @example
 * const settings = makeFakeSettings({ upstreams: [fakeUpstream('w1')], teams: [fakeTeam('a', 9)] });
 */
export function makeFakeSettings(options: { upstreams: Upstream[]; teams: Team[] }): FakeSettings {
  const { upstreams, teams } = options;
  const observers: ((fleet: Fleet) => void)[] = [];
  let fleet: Fleet = {
    version: 1,
    operators: [],
    policy: {
      urgentDeadlineMs: 1_600,
      starvationBoundMs: 60_000,
      leaseMs: 30_000,
      retryBudgetPerTeamPerMinute: 600,
      evacuationTasksPerSecond: 10,
    },
    dataCentres: Object.fromEntries(
      upstreams.map(({ dataCentre, region }) => [
        dataCentre,
        { name: dataCentre, region, inService: true },
      ]),
    ),
    upstreams: Object.fromEntries(upstreams.map((upstream) => [upstream.id, upstream])),
    teams: Object.fromEntries(teams.map((team) => [team.name, team])),
  };
  return {
    current: () => fleet,
    apply: () => Right(fleet),
    load: async () => Right(fleet),
    catchUp: async () => Right(fleet),
    after: () => [],
    subscribe: (observer) => observers.push(observer),
    change(edit) {
      fleet = structuredClone(fleet);
      edit(fleet);
      fleet.version += 1;
      observers.forEach((observer) => observer(fleet));
    },
  };
}

/** Limits in which a test sets the units of each team. */
export interface FakeLimits extends Limits {
  set(team: string, units: number): void;
}

/**
 * Makes limits that hold the units.
 *
 * @example
 * const limits = makeFakeLimits({ millers: 20 });
 */
export function makeFakeLimits(units: Record<string, number>): FakeLimits {
  const held = new Map(Object.entries(units));
  const used = new Map<string, number>();
  const usedOf = (team: string) => used.get(team) ?? 0;
  const free = (team: string) => Math.max(0, (held.get(team) ?? 0) - usedOf(team));
  return {
    free,
    held: (team) => held.get(team) ?? 0,
    used: usedOf,
    excess: (team) => Math.max(0, usedOf(team) - (held.get(team) ?? 0)),
    acquire(team, count = 1) {
      if (free(team) < count) return false;
      used.set(team, usedOf(team) + count);
      return true;
    },
    release(team, count = 1) {
      if (usedOf(team) < count) throw new Error(`team ${team} gives back more than it uses`);
      used.set(team, usedOf(team) - count);
    },
    addRunning: (team, count) => used.set(team, usedOf(team) + count),
    requestUnits: async () => undefined,
    holders: () => [],
    set: (team, count) => held.set(team, count),
  };
}

/** Observers of ownership that a test calls. */
export interface FakeOwnership {
  observers: OwnershipObserver[];
  lostWorkers: string[];
  subscribe(observer: OwnershipObserver): void;
  lost(worker: string): void;
}

/**
 * Makes the ownership that parts subscribe to.
 *
 * @example
 * const ownership = makeFakeOwnership();
 */
export function makeFakeOwnership(): FakeOwnership {
  const observers: OwnershipObserver[] = [];
  const lostWorkers: string[] = [];
  return {
    observers,
    lostWorkers,
    subscribe: (observer) => observers.push(observer),
    lost: (worker) => lostWorkers.push(worker),
  };
}
