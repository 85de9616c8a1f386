/**
 * Watches whether the store answers this process, so that calls which need it are refused at once
 * while it does not.
 */
import { claimRow } from '../cell/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { Store } from '../model/mod.ts';

/** A store whose answers are watched. */
export interface StoreHealth {
  store: Store;
  /** Whether calls have failed lately and none has succeeded since. */
  isDown(): boolean;
  /** Asks the store whether it serves this process now. */
  isServing(): Promise<boolean>;
}

const failuresToDown = 3;

/**
 * Wraps a store.
 *
 * @example
 * const { store, isDown } = watchStore(makeStore(address));
 */
export function watchStore(inner: Store): StoreHealth {
  let failuresInRow = 0;

  async function watched<T>(call: Outcome<T>): Outcome<T> {
    const result = await call;
    const isFailure = result
      .swap()
      .toMaybe()
      .filter(({ kind }) => kind !== ErrorKind.TableConflict)
      .isJust();
    failuresInRow = isFailure ? failuresInRow + 1 : 0;
    return result;
  }

  return {
    isDown: () => failuresInRow >= failuresToDown,
    isServing: async () => (await watched(inner.read(claimRow))).isRight(),
    store: {
      transact: (change, timeoutMs) => watched(inner.transact(change, timeoutMs)),
      read: (query) => watched(inner.read(query)),
      listParts: (table) => watched(inner.listParts(table)),
      watch: (table, options) => watched(inner.watch(table, options)),
    },
  };
}
