/**
 * Settles claimed workers: one transaction clears `from` in their rows and moves the limit units of
 * their running tasks from the former owners to this process.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';
import type { FencedWorker, Fencer } from './_fences.ts';
import type { RowCache } from './_row_cache.ts';
import type { OwnershipOptions } from './options.ts';
import type { OwnedWorker } from './ownership.ts';
import { countUnits, workerKey } from './plan.ts';
import type { ClaimRow } from './plan.ts';

/** Settles the workers of one process. */
export interface Settlement {
  /** Settles claimed workers that are fenced or whose host is gone. */
  settle(selfId: string, isInHandOver: (key: string) => boolean): Promise<void>;
}

interface ReadyWorker {
  row: ClaimRow;
  from: string[];
  /** Absent for a worker whose host is gone: it runs nothing and cannot be fenced. */
  fenced?: FencedWorker;
}

const maxWorkersPerSettlement = 16;
// The lease of 30 s plus a margin of 2 s. A host that has been missing for longer runs no tasks.
const hostAbsenceLimitMs = 32_000;

/**
 * Creates the settlement of a process.
 *
 * @example
 * const settlement = makeSettlement({ ...options, rows, fencer, staleKeys, onSettled });
 */
export function makeSettlement({
  limits,
  settings,
  rows,
  fencer,
  getHostAbsenceMs,
  staleKeys,
  onSettled,
}: Pick<OwnershipOptions, 'limits' | 'settings'> & {
  rows: RowCache;
  fencer: Fencer;
  getHostAbsenceMs: (address: string) => number | undefined;
  staleKeys: Set<string>;
  onSettled: (worker: OwnedWorker, state: WorkerState) => void;
}): Settlement {
  const acquire = ({ fenced }: ReadyWorker) => {
    if (!fenced) return;
    const { upstream, epoch, state } = fenced;
    fencer.remove(upstream.id);
    onSettled({ upstream, epoch }, state);
  };

  const isHostGone = (upstream: Upstream) =>
    fencer.failingSince(upstream.id) !== undefined &&
    (getHostAbsenceMs(upstream.address) ?? 0) >= hostAbsenceLimitMs;

  const findReady = (selfId: string, isInHandOver: (key: string) => boolean): ReadyWorker[] => {
    const fenced = fencer.listFenced().flatMap((fencedWorker): ReadyWorker[] => {
      const row = rows.get(workerKey(fencedWorker.upstream.id));
      if (
        row?.claim.owner !== selfId ||
        row.claim.epoch !== fencedWorker.epoch ||
        isInHandOver(row.key)
      ) {
        fencer.remove(fencedWorker.upstream.id);
        return [];
      }
      return [{ row, from: row.claim.from ?? [], fenced: fencedWorker }];
    });
    const withoutHost = rows.workers().flatMap((row): ReadyWorker[] => {
      const upstream = settings.current().upstreams[row.key.slice('workers/'.length)];
      const { owner, from } = row.claim;
      if (owner !== selfId || !from || !upstream || !isHostGone(upstream)) return [];
      return [{ row, from }];
    });
    return [...fenced, ...withoutHost].slice(0, maxWorkersPerSettlement);
  };

  return {
    async settle(selfId, isInHandOver) {
      const ready = findReady(selfId, isInHandOver);
      const withoutTransfer = ready.filter(({ from }) => from.length === 0);
      const withTransfer = ready.filter(({ from }) => from.length > 0);
      if (withoutTransfer.length > 0) {
        const teams = withoutTransfer.flatMap(({ fenced }) =>
          Object.keys(countUnits(fenced?.state.tasks ?? [])),
        );
        await limits.refresh([...new Set(teams)], () => withoutTransfer.forEach(acquire));
      }
      if (withTransfer.length === 0) return;
      const claims = withTransfer.map(({ row }) => ({
        key: row.key,
        claim: { epoch: row.claim.epoch, owner: selfId },
      }));
      const outcome = await limits.move(
        withTransfer.map(({ from, fenced }) => ({
          from,
          to: selfId,
          units: countUnits(fenced?.state.tasks ?? []),
        })),
        {
          mutation: {
            checks: withTransfer.map(({ row: { key, version } }) => ({ key, version })),
            writes: claims.map(({ key, claim }) => ({ key, value: claim })),
          },
          after: (versions) => {
            rows.applyCommit(claims, versions);
            withTransfer.forEach(acquire);
          },
        },
      );
      outcome.ifLeft(() => withTransfer.forEach(({ row }) => staleKeys.add(row.key)));
    },
  };
}
