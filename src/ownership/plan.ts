/**
 * Decisions about ownership as pure functions: who should own what, what to claim, what to hand over
 * and whose units can be freed (design section 4.5).
 */
import type { Claim, Member, RunningTask, Upstream } from '../schema/mod.ts';
import { preferred } from './rendezvous.ts';

/** A row `workers/{id}` or `partitions/{n}`; version 0 for one that does not exist. */
export interface ClaimRow {
  key: string;
  version: number;
  claim: Claim;
}

/** A row that nobody has written yet. */
export const initialClaim: Claim = { epoch: 0, owner: '' };

/** Key of a worker's row. */
export const workerKey = (worker: string) => `workers/${worker}`;

/** Key of a partition's row. */
export const partitionKey = (partition: number) => `partitions/${partition}`;

/**
 * The member that should own a worker: of its data centre if there is one, else of its region, else
 * any. Draining members are passed over.
 *
 * @example
 * preferredForWorker(upstream, view.members);
 */
export function selectWorkerOwner(
  { id, region, dataCentre }: Pick<Upstream, 'id' | 'region' | 'dataCentre'>,
  members: Member[],
): string | undefined {
  const filterUnlessEmpty = (candidates: Member[], test: (member: Member) => boolean) => {
    const matching = candidates.filter(test);
    return matching.length > 0 ? matching : candidates;
  };
  const eligible = members.filter(({ draining }) => !draining);
  const inRegion = filterUnlessEmpty(eligible, (member) => member.region === region);
  const inDataCentre = filterUnlessEmpty(inRegion, (member) => member.dataCentre === dataCentre);
  return preferred(
    workerKey(id),
    inDataCentre.map((member) => member.id),
  );
}

/**
 * The member that should own a partition.
 *
 * @example
 * preferredForPartition(7, view.members);
 */
export function selectPartitionOwner(partition: number, members: Member[]): string | undefined {
  const eligible = members.filter(({ draining }) => !draining);
  return preferred(
    partitionKey(partition),
    eligible.map(({ id }) => id),
  );
}

/** Rules that a mutation test can replace. */
export interface OwnershipRules {
  /** A claim of a worker without fencing waits until its former owner has certainly gone. */
  mayClaim: (options: {
    hasFencing: boolean;
    isReleased: boolean;
    isOwnerGone: boolean;
  }) => boolean;
  /** The members whose units the tasks on a claimed worker use until it is settled. */
  sources: (claim: Claim) => string[];
  /** Whether a member's rows still mention it, so that its units stay held. */
  mentions: (claim: Claim, member: string) => boolean;
}

/** The rules in force. */
export const ownershipRules: OwnershipRules = {
  mayClaim: ({ hasFencing, isReleased, isOwnerGone }) => hasFencing || isReleased || isOwnerGone,
  // An owner that has not settled a worker has started nothing there: only the first source counts.
  sources: ({ owner, from }) => from ?? (owner === '' ? [] : [owner]),
  mentions: ({ owner, from }, member) => from?.includes(member) ?? owner === member,
};

/** A claim to be written. */
export interface PlannedClaim {
  row: ClaimRow;
  next: Claim;
  /** Former owner that must not be a member when the claim takes effect; empty for none. */
  formerOwner: string;
}

/**
 * The rows that a member claims: it is preferred for them, and their owner is not a member.
 *
 * @example
 * planClaims({ me, members, rows, preferredFor, fencing, ownerGone, limit: 16 });
 */
export function planClaims({
  selfId,
  members,
  rows,
  selectOwner,
  hasFencing = () => true,
  isOwnerGone = () => false,
  limit,
  rules = ownershipRules,
}: {
  selfId: string;
  members: Member[];
  rows: ClaimRow[];
  selectOwner: (row: ClaimRow) => string | undefined;
  hasFencing?: (row: ClaimRow) => boolean;
  isOwnerGone?: (owner: string) => boolean;
  limit: number;
  rules?: OwnershipRules;
}): PlannedClaim[] {
  const memberIds = new Set(members.map(({ id }) => id));
  return rows
    .filter((row) => {
      const { owner } = row.claim;
      if (memberIds.has(owner)) return false;
      if (selectOwner(row) !== selfId) return false;
      const isReleased = owner === '';
      return rules.mayClaim({
        hasFencing: hasFencing(row),
        isReleased,
        isOwnerGone: isOwnerGone(owner),
      });
    })
    .slice(0, limit)
    .map((row) => {
      const from = rules.sources(row.claim);
      return {
        row,
        next: {
          epoch: row.claim.epoch + 1,
          owner: selfId,
          ...(from.length > 0 ? { from } : {}),
        },
        formerOwner: row.claim.owner,
      };
    });
}

/** A hand-over to be written. */
export interface PlannedHandOver {
  row: ClaimRow;
  next: Claim;
}

/**
 * The rows that a member hands over, because another one is preferred for them. The units of running
 * tasks stay with this member until the new owner has settled the row.
 *
 * @example
 * planHandOvers({ me, rows: owned, preferredFor, limit: 1 });
 */
export function planHandOvers({
  selfId,
  rows,
  selectOwner,
  limit,
}: {
  selfId: string;
  rows: ClaimRow[];
  selectOwner: (row: ClaimRow) => string | undefined;
  limit: number;
}): PlannedHandOver[] {
  return rows
    .filter(({ claim }) => claim.owner === selfId && claim.from === undefined)
    .flatMap((row) => {
      const owner = selectOwner(row) ?? '';
      if (owner === selfId) return [];
      return [{ row, next: { epoch: row.claim.epoch + 1, owner, from: [selfId] } }];
    })
    .slice(0, limit);
}

/**
 * Units that the running tasks of a worker use, per team.
 *
 * @example
 * unitsOf([{ team: 'mill', state: 'running' }]); // { mill: 1 }
 */
export function countUnits(tasks: Pick<RunningTask, 'team' | 'state'>[]): Record<string, number> {
  const units: Record<string, number> = {};
  tasks
    .filter(({ state }) => state === 'running' || state === 'checkpointing')
    .forEach(({ team }) => {
      units[team] = (units[team] ?? 0) + 1;
    });
  return units;
}

/**
 * Says whether a member that has gone still has units on a worker that nobody has settled.
 *
 * @example
 * hasUnsettled('m7', rows);
 */
export function hasUnsettledUnits(
  member: string,
  rows: ClaimRow[],
  rules: OwnershipRules = ownershipRules,
): boolean {
  return rows.some(({ claim }) => rules.mentions(claim, member));
}
