/**
 * Settling claimed workers: one transaction clears `from` and moves the units of the adopted tasks.
 */
import type { Upstream, WorkerState } from '../schema/mod.ts';
import type { Fenced, Fences } from './_fences.ts';
import type { KnownRows } from './_row_cache.ts';
import type { OwnershipOptions } from './options.ts';
import type { OwnedWorker } from './ownership.ts';
import { unitsOf, workerKey } from './plan.ts';
import type { ClaimRow } from './plan.ts';

/** Settles workers of one process. */
export interface Settlement {
  settle(me: string, isMoving: (key: string) => boolean): Promise<void>;
}

interface Ready {
  row: ClaimRow;
  from: string[];
  /** Absent for a worker whose host is gone: it runs nothing, and there is nobody to fence. */
  fenced?: Fenced;
}

const maxAtOnce = 16;
// The lease of 30 s and a margin of 2 s: after it, a host that the platform has dropped runs nothing.
const hostGoneAfterMs = 32_000;

/**
 * Makes the settlement of a process.
 *
 * @example
 * const settlement = makeSettlement({ limits, settings, rows, fences, hostGoneMs, onSettled });
 */
export function makeSettlement({
  limits,
  settings,
  rows,
  fences,
  hostGoneMs,
  reread,
  onSettled,
}: Pick<OwnershipOptions, 'limits' | 'settings'> & {
  rows: KnownRows;
  fences: Fences;
  hostGoneMs: (address: string) => number | undefined;
  reread: Set<string>;
  onSettled: (worker: OwnedWorker, state: WorkerState) => void;
}): Settlement {
  const acquire = ({ fenced }: Ready) => {
    if (!fenced) return;
    const { upstream, epoch, state } = fenced;
    fences.remove(upstream.id);
    onSettled({ upstream, epoch }, state);
  };

  const isGone = (upstream: Upstream) =>
    fences.failingSince(upstream.id) !== undefined &&
    (hostGoneMs(upstream.address) ?? 0) >= hostGoneAfterMs;

  const findReady = (me: string, isMoving: (key: string) => boolean): Ready[] => {
    const fenced = fences.ready().flatMap((entry): Ready[] => {
      const row = rows.get(workerKey(entry.upstream.id));
      if (row?.claim.owner !== me || row.claim.epoch !== entry.epoch || isMoving(row.key)) {
        fences.remove(entry.upstream.id);
        return [];
      }
      return [{ row, from: row.claim.from ?? [], fenced: entry }];
    });
    const gone = rows.workers().flatMap((row): Ready[] => {
      const upstream = settings.current().upstreams[row.key.slice('workers/'.length)];
      const { owner, from } = row.claim;
      if (owner !== me || !from || !upstream || !isGone(upstream)) return [];
      return [{ row, from }];
    });
    return [...fenced, ...gone].slice(0, maxAtOnce);
  };

  return {
    async settle(me, isMoving) {
      const ready = findReady(me, isMoving);
      const fresh = ready.filter(({ from }) => from.length === 0);
      const taken = ready.filter(({ from }) => from.length > 0);
      if (fresh.length > 0) {
        const teams = fresh.flatMap(({ fenced }) =>
          Object.keys(unitsOf(fenced?.state.tasks ?? [])),
        );
        await limits.refresh([...new Set(teams)], () => fresh.forEach(acquire));
      }
      if (taken.length === 0) return;
      const claims = taken.map(({ row }) => ({
        key: row.key,
        claim: { epoch: row.claim.epoch, owner: me },
      }));
      const outcome = await limits.move(
        taken.map(({ from, fenced }) => ({
          from,
          to: me,
          units: unitsOf(fenced?.state.tasks ?? []),
        })),
        {
          mutation: {
            checks: taken.map(({ row: { key, version } }) => ({ key, version })),
            writes: claims.map(({ key, claim }) => ({ key, value: claim })),
          },
          after: (versions) => {
            rows.noteCommit(claims, versions);
            taken.forEach(acquire);
          },
        },
      );
      outcome.ifLeft(() => taken.forEach(({ row }) => reread.add(row.key)));
    },
  };
}
