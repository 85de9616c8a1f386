/**
 * Ownership decisions as pure functions: the preferred owner of each row, which rows to claim,
 * which to hand over, and which departed members' units can be freed (design section 4.5).
 */
import type { Claim, Member, RunningTask, Upstream } from '../schema/mod.ts';
import { selectPreferred } from './rendezvous.ts';

/** A row `workers/{id}` or `partitions/{n}`; its version is 0 when it does not exist. */
export interface ClaimRow {
  key: string;
  version: number;
  claim: Claim;
}

/** The claim of a row that has not been written yet. */
export const initialClaim: Claim = { epoch: 0, owner: '' };

/** Returns the key of a worker's row. */
export const workerKey = (worker: string) => `workers/${worker}`;

/** Returns the key of a partition's row. */
export const partitionKey = (partition: number) => `partitions/${partition}`;

/**
 * Returns the preferred owner of a worker: a member in its data centre if there is one, else in its
 * region, else any member. Draining members are excluded.
 *
 * @example
 * selectWorkerOwner(upstream, view.members);
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
  return selectPreferred(
    workerKey(id),
    inDataCentre.map((member) => member.id),
  );
}

/**
 * Returns the preferred owner of a partition. Draining members are excluded.
 *
 * @example
 * selectPartitionOwner(7, view.members);
 */
export function selectPartitionOwner(partition: number, members: Member[]): string | undefined {
  const eligible = members.filter(({ draining }) => !draining);
  return selectPreferred(
    partitionKey(partition),
    eligible.map(({ id }) => id),
  );
}

/** Safety rules, replaceable so that mutation tests can disable each of them. */
export interface OwnershipRules {
  /** Whether a row may be claimed; without fencing the former owner must certainly have stopped. */
  mayClaim: (options: {
    hasFencing: boolean;
    isReleased: boolean;
    isOwnerGone: boolean;
  }) => boolean;
  /** Members that hold the limit units of a claimed worker's tasks until it is settled. */
  findUnitHolders: (claim: Claim) => string[];
  /** Whether a departed member may still hold units for a row, so that they cannot be freed. */
  mayHoldUnits: (claim: Claim, member: string) => boolean;
}

/** The rules outside mutation tests. */
export const ownershipRules: OwnershipRules = {
  mayClaim: ({ hasFencing, isReleased, isOwnerGone }) => hasFencing || isReleased || isOwnerGone,
  // An owner that never settled the worker has started nothing there, so `from` stays unchanged.
  findUnitHolders: ({ owner, from }) => from ?? (owner === '' ? [] : [owner]),
  mayHoldUnits: ({ owner, from }, member) => from?.includes(member) ?? owner === member,
};

/** A claim to be written. */
export interface PlannedClaim {
  row: ClaimRow;
  next: Claim;
  /** Former owner, which must not be a member when the claim is committed; empty for none. */
  formerOwner: string;
}

/**
 * Selects the rows that a member claims: those that have it as preferred owner and whose present
 * owner is not a member.
 *
 * @example
 * planClaims({ selfId, members, rows, selectOwner, hasFencing, isOwnerGone, limit: 16 });
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
      const from = rules.findUnitHolders(row.claim);
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
 * Selects the rows that a member hands over because another one is their preferred owner. The units
 * of running tasks stay with this member until the new owner has settled the row.
 *
 * @example
 * planHandOvers({ selfId, rows: owned, selectOwner, limit: 1 });
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
 * Counts the limit units that the running tasks of a worker use, per team.
 *
 * @example
 * countUnits([{ team: 'mill', state: 'running' }]); // { mill: 1 }
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
 * Reports whether a departed member still holds units for a worker that has not been settled since.
 *
 * @example
 * hasUnsettledUnits('m7', rows);
 */
export function hasUnsettledUnits(
  member: string,
  rows: ClaimRow[],
  rules: OwnershipRules = ownershipRules,
): boolean {
  return rows.some(({ claim }) => rules.mayHoldUnits(claim, member));
}
