/**
 * Freeing the units of members that have gone, once none of their workers is unsettled, and telling
 * whether a former owner has certainly gone.
 */
import { scanAll } from '../membership/mod.ts';
import type { Allotment, Departed } from '../schema/mod.ts';
import type { KnownRows } from './_row_cache.ts';
import type { OwnershipOptions } from './options.ts';
import { hasUnsettled } from './plan.ts';
import type { OwnershipRules } from './plan.ts';
import { preferred } from './rendezvous.ts';

/** Cleans up after members that have gone. */
export interface Cleaner {
  /** Reads who has gone; called after the rows of workers were read. */
  collect(): Promise<void>;
  clean(me: string): Promise<void>;
  /** For a worker without fencing: its former owner can start nothing any more. */
  isOwnerGone(owner: string): boolean;
}

const settleMs = 30_000;
const rescanMs = 2_000;

/**
 * Makes the cleaner of a process.
 *
 * @example
 * const cleaner = makeCleaner({ table, limits, membership, clock, rows, rules, hostGoneMs });
 */
export function makeCleaner({
  table,
  limits,
  membership,
  settings,
  clock,
  rows,
  rules,
  hostGoneMs,
}: Pick<OwnershipOptions, 'table' | 'limits' | 'membership' | 'settings' | 'clock'> & {
  rows: KnownRows;
  rules: OwnershipRules;
  hostGoneMs: (address: string) => number | undefined;
}): Cleaner {
  const gone = new Set<string>();
  const addresses = new Map<string, string>();
  const expelledAt = new Map<string, number>();
  let scannedAt = -Infinity;

  // The rows of a worker that operators have removed are not claimed; its tasks lost their lease.
  const configured = () => {
    const { upstreams } = settings.current();
    return rows.allWorkers().filter(({ key }) => upstreams[key.slice('workers/'.length)]);
  };

  const rescan = async () => {
    if (clock.now() - scannedAt < rescanMs) return;
    scannedAt = clock.now();
    const read = await scanAll(table, 'workers/');
    read.ifRight((found) => rows.note(found));
  };

  return {
    async collect() {
      const departed = await scanAll(table, 'departed/');
      const allotments = await scanAll(table, 'allotments/');
      const present = new Set(membership.view().members.map(({ id }) => id));
      departed.orDefault([]).forEach(({ value }) => {
        const { id, address } = value as Departed;
        gone.add(id);
        if (address) addresses.set(id, address);
      });
      allotments
        .orDefault([])
        .flatMap(({ value }) => Object.keys((value as Allotment).held))
        .filter((id) => !present.has(id))
        .forEach((id) => gone.add(id));
      scannedAt = clock.now();
    },
    async clean(me) {
      const members = membership.view().members.map(({ id }) => id);
      const mine = [...gone].filter(
        (id) => !members.includes(id) && preferred(`departed/${id}`, members) === me,
      );
      for (const id of mine) {
        if (hasUnsettled(id, configured(), rules)) {
          await rescan();
        } else {
          const outcome = await limits.forget(id, {
            // The member could be newer than the view; then the row exists and nothing is freed.
            checks: [{ key: `members/${id}`, version: 0 }],
            writes: [{ key: `departed/${id}` }],
          });
          if (outcome.isRight()) gone.delete(id);
        }
      }
    },
    isOwnerGone(owner) {
      const now = clock.now();
      if (membership.formerIds().includes(owner)) {
        // This process itself was the owner and has stopped starts when it learned of its expulsion.
        const since = expelledAt.get(owner) ?? now;
        expelledAt.set(owner, since);
        return now - since >= settleMs;
      }
      const address = addresses.get(owner);
      return address !== undefined && (hostGoneMs(address) ?? 0) >= settleMs;
    },
  };
}
