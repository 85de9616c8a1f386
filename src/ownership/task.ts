/**
 * The task that keeps claims of workers and partitions. The decisions are in `plan.ts`.
 *
 * A worker is claimed, fenced and settled, in this order, and used only after that. Units of a team's
 * limit are moved in the transaction that settles the worker, so that they are never counted twice.
 */
import { silentLogger } from '../logs/mod.ts';
import { Phase } from '../membership/mod.ts';
import type { Upstream } from '../schema/mod.ts';
import { makeCleaner } from './_cleaner.ts';
import { makeFences } from './_fences.ts';
import { makeReading } from './_row_reader.ts';
import { makeKnownRows } from './_row_cache.ts';
import { makeSettlement } from './_settlement.ts';
import { makeWrites } from './_claim_writer.ts';
import type { OwnershipOptions, OwnershipTask } from './options.ts';
import type { OwnedWorker, OwnershipObserver } from './ownership.ts';
import {
  ownershipRules,
  partitionKey,
  planClaims,
  planHandOvers,
  unitsOf,
  workerKey,
} from './plan.ts';
import type { ClaimRow, PlannedHandOver } from './plan.ts';

const tickMs = 250;
const renewCheckMs = 1_000;
// A joiner reads the fleet first; a hand-over costs the worker about two round trips without a placer.
const rebalanceAfterMs = 5_000;
const workersPerClaim = 16;
const partitionsPerClaim = 32;
const drainTimeoutMs = 15_000;

const idOf = (key: string) => key.slice(key.indexOf('/') + 1);

/**
 * Makes the ownership of a process.
 *
 * @example
 * const ownership = makeOwnership({ writer, table, workers, limits, membership, settings, clock, useOf });
 * await ownership.run(signal);
 */
export function makeOwnership(options: OwnershipOptions): OwnershipTask {
  const { writer, table, workers, limits, membership, settings, clock, useOf } = options;
  const { hostGoneMs = () => undefined, log = silentLogger, rules = ownershipRules } = options;
  const observers: OwnershipObserver[] = [];
  const owned = new Map<string, OwnedWorker>();
  const partitions = new Set<number>();
  /** Workers handed over or lost, whose units stay parked until the new owner has settled them. */
  const parked = new Map<string, string[]>();
  const upstreams = () => settings.current().upstreams;
  const rows = makeKnownRows({ upstreams });
  const reread = new Set<string>();
  /** Rows whose hand-over is being written: until its outcome is known they are not used. */
  const moving = new Set<string>();
  const fences = makeFences({
    workers,
    clock,
    onStale: (worker) => reread.add(workerKey(worker)),
  });
  let me = '';
  let viewSince = -Infinity;
  let viewVersion = -1;

  const member = () => me;
  const writes = makeWrites({ writer, rows, reread, moving, member, log });
  const cleaner = makeCleaner({ ...options, rows, rules, hostGoneMs });
  const settlement = makeSettlement({
    ...options,
    rows,
    fences,
    hostGoneMs,
    reread,
    onSettled(worker, state) {
      parked.delete(worker.upstream.id);
      limits.unpark(worker.upstream.id);
      owned.set(worker.upstream.id, worker);
      Object.entries(unitsOf(state.tasks)).forEach(([team, count]) => limits.adopt(team, count));
      observers.forEach((observer) => observer.acquired(worker, state));
    },
  });

  const reading = makeReading({ table, clock, membership, rows, reread, parked, member, cleaner });

  const park = (worker: OwnedWorker) => {
    const { id } = worker.upstream;
    const { units } = useOf(id);
    owned.delete(id);
    parked.set(id, Object.keys(units));
    limits.park(id, units);
    observers.forEach((observer) => observer.released(worker));
  };

  const releasePartition = (partition: number) => {
    if (!partitions.delete(partition)) return;
    observers.forEach((observer) => observer.partitionReleased(partition));
  };

  const dropAll = () => {
    const dropped = [...owned.values()];
    owned.clear();
    parked.clear();
    fences.reset();
    moving.clear();
    dropped.forEach((worker) => observers.forEach((observer) => observer.released(worker)));
    [...partitions].forEach(releasePartition);
    limits.reset();
  };

  const isMember = () =>
    ([Phase.Provisional, Phase.Full, Phase.Draining] as Phase[]).includes(membership.phase());

  /** Follows an expulsion or a new id at once, without waiting for the loop. */
  const follow = () => {
    const id = isMember() ? membership.id() : '';
    if (id !== me) {
      dropAll();
      me = id;
      reading.reset();
    }
    const { version, members } = membership.view();
    if (version !== viewVersion) {
      viewVersion = version;
      viewSince = clock.now();
      rows.setMembers(version, members);
    }
  };
  membership.subscribe(follow);

  /** Brings what is owned in line with the rows. */
  const reconcile = () => {
    [...owned.values()].forEach((worker) => {
      const row = rows.get(workerKey(worker.upstream.id));
      if (row && (row.claim.owner !== me || row.claim.epoch !== worker.epoch)) park(worker);
    });
    rows.partitions().forEach(({ key, claim }) => {
      const partition = Number(idOf(key));
      if (moving.has(key)) return;
      if (claim.owner !== me) releasePartition(partition);
      else if (!partitions.has(partition)) {
        partitions.add(partition);
        observers.forEach((observer) => observer.partitionAcquired(partition));
      }
    });
  };

  const endParking = async () => {
    const settled = [...parked].filter(([worker]) => {
      const claim = rows.get(workerKey(worker))?.claim;
      return claim !== undefined && claim.owner !== me && !claim.from?.includes(me);
    });
    for (const [worker, teams] of settled) {
      await limits.refresh(teams, () => {
        parked.delete(worker);
        limits.unpark(worker);
      });
    }
  };

  const claim = async () => {
    const { members } = membership.view();
    const common = { me, members, preferredFor: rows.preferredFor, rules };
    await writes.claim(
      planClaims({
        ...common,
        rows: rows.workers(),
        fencing: ({ key }) => upstreams()[idOf(key)]?.fencing ?? true,
        ownerGone: cleaner.isOwnerGone,
        limit: workersPerClaim,
      }),
    );
    const shares = planClaims({
      ...common,
      rows: rows.partitions(),
      limit: partitionsPerClaim,
    });
    // A partition has no worker to settle with and no units.
    await writes.claim(
      shares.map((planned) => ({
        ...planned,
        next: { epoch: planned.next.epoch, owner: me },
      })),
    );
  };

  const handOverRows = async (planned: PlannedHandOver[]) => {
    planned.forEach(({ row: { key } }) => {
      const worker = owned.get(idOf(key));
      if (key.startsWith('workers/') && worker) park(worker);
      else if (key.startsWith('partitions/')) releasePartition(Number(idOf(key)));
    });
    await writes.handOver(planned);
  };

  const isMovable = ({ key }: ClaimRow) => {
    const worker = owned.get(idOf(key));
    if (!worker) return false;
    // Without fencing only the former owner can make sure that no start is on its way.
    return worker.upstream.fencing || !useOf(worker.upstream.id).starting;
  };

  const planShares = (limit: number) =>
    planHandOvers({ me, rows: rows.partitions(), preferredFor: rows.preferredFor, limit }).map(
      ({ row, next: { epoch, owner } }) => ({ row, next: { epoch, owner } }),
    );

  const handOverSome = async (limit: number) => {
    const movable = rows.workers().filter(isMovable);
    const { preferredFor } = rows;
    await handOverRows(planHandOvers({ me, rows: movable, preferredFor, limit }));
  };

  const fenceClaimed = () => {
    rows.workers().forEach(({ key, claim: { owner, epoch } }) => {
      const upstream: Upstream | undefined = upstreams()[idOf(key)];
      if (owner !== me || !upstream || owned.has(upstream.id) || reread.has(key)) return;
      if (!moving.has(key)) fences.request(upstream, { owner: me, epoch });
    });
  };

  const tick = async () => {
    follow();
    if (me === '') return;
    const self = me;
    if (!(await reading.read()) || self !== me) return;
    reconcile();
    await endParking();
    if (self !== me) return;
    if (membership.phase() !== Phase.Draining) await claim();
    if (self !== me) return;
    reconcile();
    fenceClaimed();
    await settlement.settle(me, (key) => moving.has(key));
    if (self !== me || membership.phase() === Phase.Draining) return;
    if (clock.now() - viewSince >= rebalanceAfterMs) {
      await handOverSome(1);
      await handOverRows(planShares(1));
    }
    if (self === me) await cleaner.clean(me);
  };

  return {
    workers: () => [...owned.values()],
    partitions: () => [...partitions].sort((a, b) => a - b),
    ownerOfWorker: (worker) => rows.get(workerKey(worker))?.claim.owner || undefined,
    ownerOfPartition: (partition) => rows.partitions()[partition]?.claim.owner || undefined,
    lost(worker) {
      const entry = owned.get(worker);
      if (entry) park(entry);
      reread.add(workerKey(worker));
    },
    recheck({ workers: ids = [], partitions: numbers = [] }) {
      ids.forEach((id) => reread.add(workerKey(id)));
      numbers.forEach((partition) => reread.add(partitionKey(partition)));
    },
    subscribe: (observer) => {
      observers.push(observer);
    },
    async handOver() {
      const deadline = clock.now() + drainTimeoutMs;
      const open = () => owned.size > 0 || partitions.size > 0 || parked.size > 0;
      while (isMember() && open() && clock.now() < deadline) {
        await handOverRows(planShares(partitionsPerClaim));
        await handOverSome(workersPerClaim);
        await clock.sleep(tickMs);
      }
      await limits.returnAll();
    },
    async run(signal) {
      const renewing = (async () => {
        while (!signal.aborted) {
          await fences.renew(settings.current().policy.leaseMs);
          await clock.sleep(renewCheckMs, signal);
        }
      })();
      while (!signal.aborted) {
        await tick();
        await clock.sleep(tickMs, signal);
      }
      await renewing;
    },
  };
}
