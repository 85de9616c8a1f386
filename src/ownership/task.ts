/**
 * The loop that claims and hands over workers and partitions. The decisions are in `plan.ts`.
 *
 * A worker is claimed, fenced and settled, in this order, before it is used. The units of a team's
 * limit move in the transaction that settles the worker, so that they are never counted twice.
 */
import { silentLogger } from '../logs/mod.ts';
import { Phase } from '../membership/mod.ts';
import type { Upstream } from '../schema/mod.ts';
import { makeClaimWriter } from './_claim_writer.ts';
import { makeDepartedCleaner } from './_cleaner.ts';
import { makeFencer } from './_fences.ts';
import { makeRowCache } from './_row_cache.ts';
import { makeRowReader } from './_row_reader.ts';
import { makeSettlement } from './_settlement.ts';
import type { OwnershipOptions, OwnershipTask } from './options.ts';
import type { OwnedWorker, OwnershipObserver } from './ownership.ts';
import {
  countUnits,
  ownershipRules,
  partitionKey,
  planClaims,
  planHandOvers,
  workerKey,
} from './plan.ts';
import type { ClaimRow, PlannedHandOver } from './plan.ts';

const tickIntervalMs = 250;
const renewalCheckIntervalMs = 1_000;
// Lets a new member read the fleet first; a hand-over delays starts by about two round trips.
const rebalanceDelayMs = 5_000;
const workersPerClaim = 16;
const partitionsPerClaim = 32;
const drainTimeoutMs = 15_000;

const parseId = (key: string) => key.slice(key.indexOf('/') + 1);

/**
 * Creates the ownership task of a process.
 *
 * @example
 * const ownership = makeOwnership({ ...clients, limits, membership, settings, clock, getUsage });
 * await ownership.run(signal);
 */
export function makeOwnership(options: OwnershipOptions): OwnershipTask {
  const { writer, table, workers, limits, membership, settings, clock, getUsage } = options;
  const {
    getHostAbsenceMs = () => undefined,
    log = silentLogger,
    rules = ownershipRules,
  } = options;
  const observers: OwnershipObserver[] = [];
  const owned = new Map<string, OwnedWorker>();
  const partitions = new Set<number>();
  /** Teams with tasks on workers handed over or lost; their units stay parked until settlement. */
  const parked = new Map<string, string[]>();
  const upstreams = () => settings.current().upstreams;
  const rows = makeRowCache({ upstreams });
  const staleKeys = new Set<string>();
  /** Keys of rows whose hand-over is being written; unused until its outcome is known. */
  const keysInHandOver = new Set<string>();
  const fencer = makeFencer({
    workers,
    clock,
    onStaleEpoch: (worker) => staleKeys.add(workerKey(worker)),
  });
  let selfId = '';
  let viewChangedAt = -Infinity;
  let viewVersion = -1;

  const getSelfId = () => selfId;
  const claimWriter = makeClaimWriter({ writer, rows, staleKeys, keysInHandOver, getSelfId, log });
  const cleaner = makeDepartedCleaner({ ...options, rows, rules, getHostAbsenceMs });
  const settlement = makeSettlement({
    ...options,
    rows,
    fencer,
    getHostAbsenceMs,
    staleKeys,
    onSettled(worker, state) {
      parked.delete(worker.upstream.id);
      limits.unpark(worker.upstream.id);
      owned.set(worker.upstream.id, worker);
      Object.entries(countUnits(state.tasks)).forEach(([team, count]) =>
        limits.addRunning(team, count),
      );
      observers.forEach((observer) => observer.acquired(worker, state));
    },
  });

  const rowReader = makeRowReader({
    table,
    clock,
    membership,
    rows,
    staleKeys,
    parked,
    getSelfId,
    cleaner,
  });

  const park = (worker: OwnedWorker) => {
    const { id } = worker.upstream;
    const { units } = getUsage(id);
    owned.delete(id);
    parked.set(id, Object.keys(units));
    limits.park(id, units);
    observers.forEach((observer) => observer.released(worker));
  };

  const releasePartition = (partition: number) => {
    if (!partitions.delete(partition)) return;
    observers.forEach((observer) => observer.partitionReleased(partition));
  };

  const releaseAll = () => {
    const releasedWorkers = [...owned.values()];
    owned.clear();
    parked.clear();
    fencer.reset();
    keysInHandOver.clear();
    releasedWorkers.forEach((worker) => observers.forEach((observer) => observer.released(worker)));
    [...partitions].forEach(releasePartition);
    limits.reset();
  };

  const isMember = () =>
    ([Phase.Provisional, Phase.Full, Phase.Draining] as Phase[]).includes(membership.phase());

  /** Applies an expulsion, a new member id or a new view at once, without waiting for the loop. */
  const syncMembership = () => {
    const id = isMember() ? membership.id() : '';
    if (id !== selfId) {
      releaseAll();
      selfId = id;
      rowReader.reset();
    }
    const { version, members } = membership.view();
    if (version !== viewVersion) {
      viewVersion = version;
      viewChangedAt = clock.now();
      rows.setMembers(version, members);
    }
  };
  membership.subscribe(syncMembership);

  /** Releases what the rows assign to another owner and takes over own partitions. */
  const reconcile = () => {
    [...owned.values()].forEach((worker) => {
      const row = rows.get(workerKey(worker.upstream.id));
      if (row && (row.claim.owner !== selfId || row.claim.epoch !== worker.epoch)) park(worker);
    });
    rows.partitions().forEach(({ key, claim }) => {
      const partition = Number(parseId(key));
      if (keysInHandOver.has(key)) return;
      if (claim.owner !== selfId) releasePartition(partition);
      else if (!partitions.has(partition)) {
        partitions.add(partition);
        observers.forEach((observer) => observer.partitionAcquired(partition));
      }
    });
  };

  const unparkSettled = async () => {
    const settled = [...parked].filter(([worker]) => {
      const claim = rows.get(workerKey(worker))?.claim;
      return claim !== undefined && claim.owner !== selfId && !claim.from?.includes(selfId);
    });
    for (const [worker, teams] of settled) {
      await limits.refresh(teams, () => {
        parked.delete(worker);
        limits.unpark(worker);
      });
    }
  };

  const claimRows = async () => {
    const { members } = membership.view();
    const sharedOptions = { selfId, members, selectOwner: rows.selectOwner, rules };
    await claimWriter.writeClaims(
      planClaims({
        ...sharedOptions,
        rows: rows.workers(),
        hasFencing: ({ key }) => upstreams()[parseId(key)]?.fencing ?? true,
        isOwnerGone: cleaner.isOwnerGone,
        limit: workersPerClaim,
      }),
    );
    const plannedPartitions = planClaims({
      ...sharedOptions,
      rows: rows.partitions(),
      limit: partitionsPerClaim,
    });
    // Partitions need no settlement, because they hold no units.
    await claimWriter.writeClaims(
      plannedPartitions.map((planned) => ({
        ...planned,
        next: { epoch: planned.next.epoch, owner: selfId },
      })),
    );
  };

  const handOverRows = async (planned: PlannedHandOver[]) => {
    planned.forEach(({ row: { key } }) => {
      const worker = owned.get(parseId(key));
      if (key.startsWith('workers/') && worker) park(worker);
      else if (key.startsWith('partitions/')) releasePartition(Number(parseId(key)));
    });
    await claimWriter.writeHandOvers(planned);
  };

  const canHandOver = ({ key }: ClaimRow) => {
    const worker = owned.get(parseId(key));
    if (!worker) return false;
    // Without fencing only the former owner can ensure that no start request is in flight.
    return worker.upstream.fencing || !getUsage(worker.upstream.id).starting;
  };

  const planPartitionHandOvers = (limit: number) =>
    planHandOvers({ selfId, rows: rows.partitions(), selectOwner: rows.selectOwner, limit }).map(
      ({ row, next: { epoch, owner } }) => ({ row, next: { epoch, owner } }),
    );

  const handOverWorkers = async (limit: number) => {
    const movable = rows.workers().filter(canHandOver);
    const { selectOwner } = rows;
    await handOverRows(planHandOvers({ selfId, rows: movable, selectOwner, limit }));
  };

  const fenceClaimedWorkers = () => {
    rows.workers().forEach(({ key, claim: { owner, epoch } }) => {
      const upstream: Upstream | undefined = upstreams()[parseId(key)];
      if (owner !== selfId || !upstream || owned.has(upstream.id) || staleKeys.has(key)) return;
      if (!keysInHandOver.has(key)) fencer.request(upstream, { owner: selfId, epoch });
    });
  };

  const tick = async () => {
    syncMembership();
    if (selfId === '') return;
    const idAtStart = selfId;
    if (!(await rowReader.read()) || idAtStart !== selfId) return;
    reconcile();
    await unparkSettled();
    if (idAtStart !== selfId) return;
    if (membership.phase() !== Phase.Draining) await claimRows();
    if (idAtStart !== selfId) return;
    reconcile();
    fenceClaimedWorkers();
    await settlement.settle(selfId, (key) => keysInHandOver.has(key));
    if (idAtStart !== selfId || membership.phase() === Phase.Draining) return;
    if (clock.now() - viewChangedAt >= rebalanceDelayMs) {
      await handOverWorkers(1);
      await handOverRows(planPartitionHandOvers(1));
    }
    if (idAtStart === selfId) await cleaner.freeUnits(selfId);
  };

  return {
    workers: () => [...owned.values()],
    partitions: () => [...partitions].sort((a, b) => a - b),
    ownerOfWorker: (worker) => rows.get(workerKey(worker))?.claim.owner || undefined,
    ownerOfPartition: (partition) => rows.partitions()[partition]?.claim.owner || undefined,
    lost(worker) {
      const ownedWorker = owned.get(worker);
      if (ownedWorker) park(ownedWorker);
      staleKeys.add(workerKey(worker));
    },
    recheck({ workers: ids = [], partitions: partitionNumbers = [] }) {
      ids.forEach((id) => staleKeys.add(workerKey(id)));
      partitionNumbers.forEach((partition) => staleKeys.add(partitionKey(partition)));
    },
    subscribe: (observer) => {
      observers.push(observer);
    },
    async handOver() {
      const deadline = clock.now() + drainTimeoutMs;
      const isHandOverPending = () => owned.size > 0 || partitions.size > 0 || parked.size > 0;
      while (isMember() && isHandOverPending() && clock.now() < deadline) {
        await handOverRows(planPartitionHandOvers(partitionsPerClaim));
        await handOverWorkers(workersPerClaim);
        await clock.sleep(tickIntervalMs);
      }
      await limits.returnAll();
    },
    async run(signal) {
      const renewalLoop = (async () => {
        while (!signal.aborted) {
          await fencer.renew(settings.current().policy.leaseMs);
          await clock.sleep(renewalCheckIntervalMs, signal);
        }
      })();
      while (!signal.aborted) {
        await tick();
        await clock.sleep(tickIntervalMs, signal);
      }
      await renewalLoop;
    },
  };
}
