/**
 * Entries of the writer's queue: mutations with the callbacks that settle them.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Commit } from '../schema/mod.ts';
import type { Mutation } from './table.ts';

/** A mutation that is queued or part of the transaction in flight. */
export interface QueueEntry {
  mutation: Required<Mutation>;
  attemptCount: number;
  /** Sent in its own transaction, because a batch that contained it was rejected as malformed. */
  isAlone: boolean;
  /** True once the caller has received its result. */
  isSettled: boolean;
  settle: (result: Either<Failure, Commit>) => void;
}

/** Returns the keys that a mutation writes or whose version it checks. */
export function getTouchedKeys({ checks, writes }: Required<Mutation>): string[] {
  return [...new Set([...checks, ...writes].map(({ key }) => key))];
}

/** Makes an entry that is settled by `settle`, or with the failure of `onTimeout` on a timeout. */
export function makeQueueEntry(
  mutation: Mutation,
  options: { clock: Clock; timeoutMs: number; onTimeout: (entry: QueueEntry) => Failure },
): { entry: QueueEntry; outcome: Outcome<Commit> } {
  const { clock, timeoutMs, onTimeout } = options;
  const timeoutAbort = new AbortController();
  let resolve: (result: Either<Failure, Commit>) => void = () => undefined;
  const outcome = new Promise<Either<Failure, Commit>>((resolvePromise) => {
    resolve = resolvePromise;
  });
  const entry: QueueEntry = {
    mutation: { checks: [], writes: [], reads: [], versions: [], ...mutation },
    attemptCount: 0,
    isAlone: false,
    isSettled: false,
    settle(result) {
      if (entry.isSettled) return;
      entry.isSettled = true;
      timeoutAbort.abort();
      resolve(result);
    },
  };
  clock.sleep(timeoutMs, timeoutAbort.signal).then(
    () => {
      if (!entry.isSettled) entry.settle(Left(onTimeout(entry)));
    },
    () => undefined,
  );
  return { entry, outcome };
}

/** Fails the entries that touch the conflicting keys, or all entries when none does. */
export function failConflicting(entries: QueueEntry[], keys: Set<string>): void {
  const conflicting = entries.filter(({ mutation }) =>
    getTouchedKeys(mutation).some((key) => keys.has(key)),
  );
  (conflicting.length > 0 ? conflicting : entries).forEach(({ mutation, settle }) => {
    const ownKeys = getTouchedKeys(mutation).filter((key) => keys.has(key));
    const got = ownKeys.length > 0 ? ownKeys : [...keys];
    settle(Left(makeFailure(ErrorKind.TableConflict, 'rows have other versions', { got })));
  });
}
