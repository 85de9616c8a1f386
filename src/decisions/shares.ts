/**
 * Team shares: weighted shares of the dominant resource, with idle share lent to others.
 */
import type { Size } from '../schema/mod.ts';
import { dominantPart, nothing, plus } from './_size.ts';

/** A team with its weight and what it could use, as a part of the fleet. */
export interface ShareClaim {
  team: string;
  weight: number;
  demand: number;
}

/**
 * What each team is entitled to when all demands compete: every team gets the same part per weight,
 * but none more than its demand (water-filling).
 *
 * @example
 * entitlements([{ team: 'a', weight: 1, demand: 0.1 }, { team: 'b', weight: 1, demand: 2 }]);
 */
export function entitlements(claims: ShareClaim[], total = 1): Map<string, number> {
  const result = new Map<string, number>();
  const ordered = [...claims].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  let left = total;
  let weight = ordered.reduce((sum, claim) => sum + claim.weight, 0);
  ordered.forEach((claim) => {
    const fair = weight > 0 ? (left * claim.weight) / weight : 0;
    const part = Math.min(claim.demand, fair);
    result.set(claim.team, part);
    left -= part;
    weight -= claim.weight;
  });
  return result;
}

/** Sums what teams use, and states it as a part of the fleet. */
export interface ShareLedger {
  started(team: string, size: Size): void;
  ended(team: string, size: Size): void;
  setTotal(total: Size): void;
  /** Largest part of any resource of the fleet that the team uses through this process. */
  dominantShare(team: string): number;
  teams(): string[];
}

/**
 * Makes the ledger of a process.
 *
 * @example
 * const ledger = makeShareLedger(fleetCapacity);
 * ledger.started('millers', size);
 */
export function makeShareLedger(fleet: Size): ShareLedger {
  let total = fleet;
  const used = new Map<string, Size>();
  const change = (team: string, size: Size, factor: number) => {
    used.set(team, plus(used.get(team) ?? nothing, size, factor));
  };
  return {
    started: (team, size) => change(team, size, 1),
    ended: (team, size) => change(team, size, -1),
    setTotal(next) {
      total = next;
    },
    dominantShare: (team) => dominantPart(used.get(team) ?? nothing, total),
    teams: () => [...used.keys()],
  };
}

/** A running task that lent room could be got back from. */
export interface LentTask {
  task: string;
  team: string;
  share: number;
  startedAt: number;
  checkpoint: boolean;
  service: boolean;
}

/** A team that waits although it uses less than its entitlement. */
export interface NeedyTeam {
  team: string;
  missing: number;
}

/** A task to take back room from. */
export interface Reclaim {
  task: string;
  mode: 'checkpoint' | 'stop';
  reason: string;
}

// A team this far above its entitlement keeps its tasks: the digest is about as uncertain.
const tolerance = 0.05;

/**
 * Picks tasks of teams above their entitlement until the missing share is covered: first those that
 * can be checkpointed, the newest first. Services are never taken back, and no team is brought below
 * its entitlement.
 *
 * @example
 * planReclaim({ tasks, needy, used, entitled, maxTasks: 8 });
 */
export function planReclaim({
  tasks,
  needy,
  used,
  entitled,
  maxTasks = 8,
  stopAllowed = false,
}: {
  tasks: LentTask[];
  needy: NeedyTeam[];
  used: (team: string) => number;
  entitled: (team: string) => number;
  maxTasks?: number;
  /** Tasks without a checkpoint may be stopped too. */
  stopAllowed?: boolean;
}): Reclaim[] {
  let missing = needy.reduce((sum, team) => sum + team.missing, 0);
  const left = new Map<string, number>();
  const surplus = (team: string) =>
    (left.get(team) ?? used(team)) - entitled(team) * (1 + tolerance);
  const first = needy[0]?.team ?? '';
  const plan: Reclaim[] = [];
  [...tasks]
    .filter((task) => !task.service && (task.checkpoint || stopAllowed))
    .sort((a, b) => Number(b.checkpoint) - Number(a.checkpoint) || b.startedAt - a.startedAt)
    .forEach(({ task, team, share, checkpoint }) => {
      if (missing <= 0 || plan.length >= maxTasks || surplus(team) < share) return;
      left.set(team, (left.get(team) ?? used(team)) - share);
      missing -= share;
      plan.push({
        task,
        mode: checkpoint ? 'checkpoint' : 'stop',
        reason: `team ${team} is above its share and ${first} waits below its own`,
      });
    });
  return plan;
}
