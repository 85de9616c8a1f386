/**
 * A scheduler's term for tests, on a given store, without workers and without an advice service.
 */
import { makeTerm } from '../cell/mod.ts';
import type { SchedulerTerm, TermOptions } from '../cell/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Store, WorkerClient } from '../model/mod.ts';
import { configuration } from './fake_cell.ts';

/** The sequence row after the claim, which the term's first transaction expects. */
export const claimedSequenceRow = {
  table: 'sequence',
  part: 'c0',
  key: 'sequence',
  value: '1.a.0',
};

/** Wraps a store so that each poll for changes takes 5 ms, which prevents busy loops. */
export function withDelayedWatch<SomeStore extends Store>(store: SomeStore): SomeStore {
  return {
    ...store,
    async watch(...args: Parameters<Store['watch']>) {
      await systemClock.sleep(5);
      return store.watch(...args);
    },
  };
}

/**
 * Writes the sequence row of a claim to the store and makes its term; `options` replace the defaults.
 *
 * @example
 * const term = await makeClaimedTerm(withDelayedWatch(makeFakeStore()));
 * await term.run();
 */
export async function makeClaimedTerm(
  store: Store,
  options: Partial<TermOptions> = {},
): Promise<SchedulerTerm> {
  const claimed = await store.transact({ expected: [], writes: [claimedSequenceRow], deletes: [] });
  return makeTerm({
    store,
    workers: {} as WorkerClient,
    clock: systemClock,
    log: silentLogger,
    advicePool: { acquire: () => undefined, requestTickets: async () => undefined },
    registryTable: 'servers',
    decodeWorker: () => undefined,
    operatorState: () => ({
      configuration: configuration(),
      evacuated: new Set<string>(),
      currentAtMs: systemClock.now(),
    }),
    claim: {
      epoch: 1,
      instance: 'a',
      sequence: { version: claimed.orDefault(0), value: claimedSequenceRow.value },
    },
    predecessorMayAct: false,
    maxLeaseMs: 6_000,
    maxRowBytes: 65_536,
    onEnded: () => undefined,
    ...options,
  });
}
