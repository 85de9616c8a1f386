/**
 * Team shares: weighted dominant resource fairness, in which unused share is lent to other teams.
 */
import type { Size } from '../schema/mod.ts';
import { computeDominantShare, zeroSize, addScaled } from './_size.ts';

/** A team with its weight and its demand as a fraction of the fleet. */
export interface TeamDemand {
  team: string;
  weight: number;
  demand: number;
}

/**
 * Returns the entitlement of each team when all demands compete: the same share per weight, but
 * none above its demand (water-filling).
 *
 * @example
 * computeEntitlements([{ team: 'a', weight: 1, demand: 0.1 }, { team: 'b', weight: 1, demand: 2 }]);
 */
export function computeEntitlements(claims: TeamDemand[], total = 1): Map<string, number> {
  const result = new Map<string, number>();
  const ordered = [...claims].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  let remaining = total;
  let remainingWeight = ordered.reduce((sum, claim) => sum + claim.weight, 0);
  ordered.forEach((claim) => {
    const fairShare = remainingWeight > 0 ? (remaining * claim.weight) / remainingWeight : 0;
    const entitlement = Math.min(claim.demand, fairShare);
    result.set(claim.team, entitlement);
    remaining -= entitlement;
    remainingWeight -= claim.weight;
  });
  return result;
}

/** Accounts the usage of teams as a fraction of the fleet. */
export interface ShareLedger {
  addTask(team: string, size: Size): void;
  removeTask(team: string, size: Size): void;
  setFleetCapacity(total: Size): void;
  /** Largest fraction of any resource of the fleet that the team uses through this process. */
  dominantShare(team: string): number;
  teams(): string[];
}

/**
 * Makes the ledger of a process.
 *
 * @example
 * const ledger = makeShareLedger(fleetCapacity);
 * ledger.addTask('team-a', size);
 */
export function makeShareLedger(fleet: Size): ShareLedger {
  let total = fleet;
  const used = new Map<string, Size>();
  const changeUsage = (team: string, size: Size, factor: number) => {
    used.set(team, addScaled(used.get(team) ?? zeroSize, size, factor));
  };
  return {
    addTask: (team, size) => changeUsage(team, size, 1),
    removeTask: (team, size) => changeUsage(team, size, -1),
    setFleetCapacity(next) {
      total = next;
    },
    dominantShare: (team) => computeDominantShare(used.get(team) ?? zeroSize, total),
    teams: () => [...used.keys()],
  };
}

/** A running task that may be stopped to reclaim lent capacity. */
export interface ReclaimableTask {
  task: string;
  team: string;
  share: number;
  startedAt: number;
  checkpoint: boolean;
  service: boolean;
}

/** A team with pending jobs that uses less than its entitlement. */
export interface UnderservedTeam {
  team: string;
  missing: number;
}

/** A task to stop so that its capacity is reclaimed. */
export interface ReclaimAction {
  task: string;
  mode: 'checkpoint' | 'stop';
  reason: string;
}

// Fraction above its entitlement up to which a team keeps its tasks: the digest is about as
// uncertain.
const shareTolerance = 0.05;

/**
 * Selects tasks of teams above their entitlement until the missing share is covered: tasks with a
 * checkpoint first, then the newest first. It never selects services, and brings no team below its
 * entitlement.
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
  /** Whether tasks without a checkpoint may be stopped too. */
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
        reason: `team ${team} is above its entitlement and team ${firstTeam} waits below its own`,
      });
    });
  return plan;
}
