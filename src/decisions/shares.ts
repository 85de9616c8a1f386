/**
 * Team shares: weighted shares of the dominant resource, with idle share lent to others.
 */
import type { Size } from '../schema/mod.ts';
import { computeDominantShare, zeroSize, addScaled } from './_size.ts';

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
    (remaining, right) => remaining.demand / remaining.weight - right.demand / right.weight,
  );
  let left = total;
  let remainingWeight = ordered.reduce((sum, claim) => sum + claim.weight, 0);
  ordered.forEach((claim) => {
    const fairShare = remainingWeight > 0 ? (left * claim.weight) / remainingWeight : 0;
    const entitlement = Math.min(claim.demand, fairShare);
    result.set(claim.team, entitlement);
    left -= entitlement;
    remainingWeight -= claim.weight;
  });
  return result;
}

/** Sums what teams use, and states it as a part of the fleet. */
export interface ShareLedger {
  started(team: string, size: Size): void;
  ended(team: string, size: Size): void;
  setFleetCapacity(total: Size): void;
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
  const changeUsage = (team: string, size: Size, factor: number) => {
    used.set(team, addScaled(used.get(team) ?? zeroSize, size, factor));
  };
  return {
    started: (team, size) => changeUsage(team, size, 1),
    ended: (team, size) => changeUsage(team, size, -1),
    setFleetCapacity(next) {
      total = next;
    },
    dominantShare: (team) => computeDominantShare(used.get(team) ?? zeroSize, total),
    teams: () => [...used.keys()],
  };
}

/** A running task that lent room could be got back from. */
export interface ReclaimableTask {
  task: string;
  team: string;
  share: number;
  startedAt: number;
  checkpoint: boolean;
  service: boolean;
}

/** A team that waits although it uses less than its entitlement. */
export interface UnderservedTeam {
  team: string;
  missing: number;
}

/** A task to take back room from. */
export interface ReclaimAction {
  task: string;
  mode: 'checkpoint' | 'stop';
  reason: string;
}

// A team this far above its entitlement keeps its tasks: the digest is about as uncertain.
const shareTolerance = 0.05;

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
  tasks: ReclaimableTask[];
  needy: UnderservedTeam[];
  used: (team: string) => number;
  entitled: (team: string) => number;
  maxTasks?: number;
  /** Tasks without a checkpoint may be stopped too. */
  stopAllowed?: boolean;
}): ReclaimAction[] {
  let missing = needy.reduce((sum, team) => sum + team.missing, 0);
  const remainingShares = new Map<string, number>();
  const computeSurplus = (team: string) =>
    (remainingShares.get(team) ?? used(team)) - entitled(team) * (1 + shareTolerance);
  const firstTeam = needy[0]?.team ?? '';
  const plan: ReclaimAction[] = [];
  [...tasks]
    .filter((task) => !task.service && (task.checkpoint || stopAllowed))
    .sort((a, b) => Number(b.checkpoint) - Number(a.checkpoint) || b.startedAt - a.startedAt)
    .forEach(({ task, team, share, checkpoint }) => {
      if (missing <= 0 || plan.length >= maxTasks || computeSurplus(team) < share) return;
      remainingShares.set(team, (remainingShares.get(team) ?? used(team)) - share);
      missing -= share;
      plan.push({
        task,
        mode: checkpoint ? 'checkpoint' : 'stop',
        reason: `team ${team} is above its share and ${firstTeam} waits below its own`,
      });
    });
  return plan;
}
