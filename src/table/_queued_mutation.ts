/**
 * One mutation on its way through the writer lane.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Commit } from '../schema/mod.ts';
import type { Mutation } from './table.ts';

/** A mutation that waits in the lane or is part of the transaction in flight. */
export interface Entry {
  mutation: Required<Mutation>;
  attempts: number;
  /** Sent without others, because a transaction that it was part of was rejected as malformed. */
  alone: boolean;
  /** True once its caller was answered. */
  settled: boolean;
  settle: (result: Either<Failure, Commit>) => void;
}

/** The keys that a mutation writes or whose version it checks. */
export function touchedKeys({ checks, writes }: Required<Mutation>): string[] {
  return [...new Set([...checks, ...writes].map(({ key }) => key))];
}

/** Makes an entry that is answered by `settle`, or by `onTimeout` when the time is over. */
export function makeEntry(
  mutation: Mutation,
  options: { clock: Clock; timeoutMs: number; onTimeout: (entry: Entry) => Failure },
): { entry: Entry; outcome: Outcome<Commit> } {
  const { clock, timeoutMs, onTimeout } = options;
  const ended = new AbortController();
  let resolve: (result: Either<Failure, Commit>) => void = () => undefined;
  const outcome = new Promise<Either<Failure, Commit>>((settled) => {
    resolve = settled;
  });
  const entry: Entry = {
    mutation: { checks: [], writes: [], reads: [], versions: [], ...mutation },
    attempts: 0,
    alone: false,
    settled: false,
    settle(result) {
      if (entry.settled) return;
      entry.settled = true;
      ended.abort();
      resolve(result);
    },
  };
  clock.sleep(timeoutMs, ended.signal).then(
    () => {
      if (!entry.settled) entry.settle(Left(onTimeout(entry)));
    },
    () => undefined,
  );
  return { entry, outcome };
}

/** Fails the entries whose rows are among the keys, or all of them when none is. */
export function settleConflict(entries: Entry[], keys: Set<string>): void {
  const losers = entries.filter(({ mutation }) =>
    touchedKeys(mutation).some((key) => keys.has(key)),
  );
  (losers.length > 0 ? losers : entries).forEach(({ mutation, settle }) => {
    const own = touchedKeys(mutation).filter((key) => keys.has(key));
    const got = own.length > 0 ? own : [...keys];
    settle(Left(makeFailure(ErrorKind.TableConflict, 'rows have other versions', { got })));
  });
}
