/**
 * Frees the limit units of departed members as soon as all their workers are settled, and decides
 * whether a departed owner can no longer start tasks.
 */
import { scanAll } from '../membership/mod.ts';
import type { Allotment, Departed } from '../schema/mod.ts';
import type { RowCache } from './_row_cache.ts';
import type { OwnershipOptions } from './options.ts';
import { hasUnsettledUnits } from './plan.ts';
import type { OwnershipRules } from './plan.ts';
import { selectPreferred } from './rendezvous.ts';

/** Cleans up after departed members. */
export interface DepartedCleaner {
  /** Reads the list of departed members; to be called after the worker rows have been read. */
  readDeparted(): Promise<void>;
  /** Frees the units of those departed members whose cleanup is assigned to this process. */
  freeUnits(selfId: string): Promise<void>;
  /** True when a former owner can start no more tasks on a worker without fencing. */
  isOwnerGone(owner: string): boolean;
}

const ownerStopDelayMs = 30_000;
const rescanIntervalMs = 2_000;

/**
 * Creates the cleaner of a process.
 *
 * @example
 * const cleaner = makeDepartedCleaner({ ...options, rows, rules, getHostAbsenceMs });
 */
export function makeDepartedCleaner({
  table,
  limits,
  membership,
  settings,
  clock,
  rows,
  rules,
  getHostAbsenceMs,
}: Pick<OwnershipOptions, 'table' | 'limits' | 'membership' | 'settings' | 'clock'> & {
  rows: RowCache;
  rules: OwnershipRules;
  getHostAbsenceMs: (address: string) => number | undefined;
}): DepartedCleaner {
  const departedIds = new Set<string>();
  const addressById = new Map<string, string>();
  const expelledAt = new Map<string, number>();
  let scannedAt = -Infinity;

  // Excludes workers that operators removed: nobody claims them, and their tasks lost the lease.
  const listConfiguredRows = () => {
    const { upstreams } = settings.current();
    return rows.allWorkers().filter(({ key }) => upstreams[key.slice('workers/'.length)]);
  };

  const rescan = async () => {
    if (clock.now() - scannedAt < rescanIntervalMs) return;
    scannedAt = clock.now();
    const result = await scanAll(table, 'workers/');
    result.ifRight((rowsRead) => rows.update(rowsRead));
  };

  return {
    async readDeparted() {
      const departedRows = await scanAll(table, 'departed/');
      const allotmentRows = await scanAll(table, 'allotments/');
      const memberIds = new Set(membership.view().members.map(({ id }) => id));
      departedRows.orDefault([]).forEach(({ value }) => {
        const { id, address } = value as Departed;
        departedIds.add(id);
        if (address) addressById.set(id, address);
      });
      allotmentRows
        .orDefault([])
        .flatMap(({ value }) => Object.keys((value as Allotment).held))
        .filter((id) => !memberIds.has(id))
        .forEach((id) => departedIds.add(id));
      scannedAt = clock.now();
    },
    async freeUnits(selfId) {
      const memberIds = membership.view().members.map(({ id }) => id);
      const assignedIds = [...departedIds].filter(
        (id) => !memberIds.includes(id) && selectPreferred(`departed/${id}`, memberIds) === selfId,
      );
      for (const id of assignedIds) {
        if (hasUnsettledUnits(id, listConfiguredRows(), rules)) {
          await rescan();
        } else {
          const outcome = await limits.releaseMember(id, {
            // The member may have joined after this view; then its row exists and the write fails.
            checks: [{ key: `members/${id}`, version: 0 }],
            writes: [{ key: `departed/${id}` }],
          });
          if (outcome.isRight()) departedIds.delete(id);
        }
      }
    },
    isOwnerGone(owner) {
      const now = clock.now();
      if (membership.formerIds().includes(owner)) {
        // This process itself was the owner and stopped starts when it learned of its expulsion.
        const since = expelledAt.get(owner) ?? now;
        expelledAt.set(owner, since);
        return now - since >= ownerStopDelayMs;
      }
      const address = addressById.get(owner);
      return address !== undefined && (getHostAbsenceMs(address) ?? 0) >= ownerStopDelayMs;
    },
  };
}
