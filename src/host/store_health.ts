/**
 * Tracks whether the store serves this process. While it does not, requests that need it are relayed or
 * refused without waiting for a timeout.
 */
import { claimRow } from '../cell/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Store } from '../model/mod.ts';

/** A store whose results are tracked. */
export interface StoreHealth {
  store: Store;
  /** Whether the last calls have all failed. */
  isDown(): boolean;
  /** Reads a row to find out whether the store serves this process. */
  isServing(): Promise<boolean>;
}

const downAfterFailures = 3;

/**
 * Wraps a store and tracks the results of its calls.
 *
 * @example
 * const { store, isDown } = trackStoreHealth(makeStore(address));
 */
export function trackStoreHealth(inner: Store): StoreHealth {
  let consecutiveFailures = 0;

  async function trackResult<T>(call: Outcome<T>): Outcome<T> {
    const result = await call;
    const isFailure = result
      .swap()
      .toMaybe()
      .filter(({ kind }) => kind !== ErrorKind.TableConflict && kind !== ErrorKind.TableRejected)
      .isJust();
    consecutiveFailures = isFailure ? consecutiveFailures + 1 : 0;
    return result;
  }

  return {
    isDown: () => consecutiveFailures >= downAfterFailures,
    isServing: async () => (await trackResult(inner.read(claimRow))).isRight(),
    store: {
      transact: (transaction, timeoutMs) => trackResult(inner.transact(transaction, timeoutMs)),
      read: (query) => trackResult(inner.read(query)),
      listParts: (table) => trackResult(inner.listParts(table)),
      watch: (table, options) => trackResult(inner.watch(table, options)),
    },
  };
}
