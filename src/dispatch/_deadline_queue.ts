/**
 * A queue of lookups that wait for free capacity, ordered by deadline, earliest first.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Pool, Reservation } from '../pool/mod.ts';
import type { Need } from '../schema/mod.ts';

type ReservationResult = Either<Failure, Reservation>;

interface QueueItem {
  need: Need;
  deadlineAt: number;
  settle: (result: ReservationResult) => void;
}

/** The waiting lookups of a process. */
export interface DeadlineQueue {
  /** Waits for a reservation, at most until the deadline. */
  wait(
    need: Need,
    options: { deadlineAt: number; signal?: AbortSignal },
  ): Promise<ReservationResult>;
  /** Tries to reserve for the waiting lookups; called when capacity may have become free. */
  retryWaiting(): void;
  size(): number;
  /** Counts the waiting lookups of one queue of a team. */
  countWaiting(team: string, queue: string): number;
}

const retryIntervalMs = 25;
// Stops a pass after this many failed reservations; otherwise each freed slot would cost a scan of
// the whole queue.
const maxFailures = 8;
const estimateWindowMs = 5_000;
const minCompletions = 20;

/** Estimates the wait for free capacity from the rate at which lookups ended recently. */
function makeWaitEstimator(clock: Clock) {
  let completionTimes: number[] = [];
  return {
    recordCompletion() {
      completionTimes.push(clock.now());
      if (completionTimes.length > 2_000) completionTimes = completionTimes.slice(-1_000);
    },
    /** Returns the expected wait behind this many others; undefined with too few completions. */
    estimateWaitMs(aheadCount: number): number | undefined {
      const since = clock.now() - estimateWindowMs;
      const recent = completionTimes.filter((at) => at >= since);
      if (recent.length < minCompletions) return undefined;
      const [first = 0] = recent;
      return (aheadCount + 1) * ((clock.now() - first) / recent.length);
    },
  };
}

function makeDeadlineFailure(): ReservationResult {
  return Left(
    makeFailure(ErrorKind.DeadlineUnreachable, 'no worker becomes free before the deadline', {
      retryAfterMs: 1_000,
    }),
  );
}

/**
 * Makes the deadline queue of a process.
 *
 * @example
 * const queue = makeDeadlineQueue({ clock, pool, onTeamLimit: (team) => limits.requestUnits(team, 1) });
 */
export function makeDeadlineQueue(options: {
  clock: Clock;
  pool: Pick<Pool, 'reserve'>;
  onTeamLimit: (team: string) => void;
}): DeadlineQueue & { onLookupEnded(): void } {
  const { clock, pool, onTeamLimit } = options;
  const waitEstimator = makeWaitEstimator(clock);
  let items: QueueItem[] = [];
  let isLooping = false;

  const insert = (item: QueueItem) => {
    let low = 0;
    let high = items.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((items[middle]?.deadlineAt ?? Infinity) <= item.deadlineAt) low = middle + 1;
      else high = middle;
    }
    items.splice(low, 0, item);
    return low;
  };

  const retryWaiting = () => {
    const now = clock.now();
    const limitedTeams = new Set<string>();
    let failures = 0;
    items = items.filter((item) => {
      if (item.deadlineAt <= now) {
        item.settle(makeDeadlineFailure());
        return false;
      }
      if (failures >= maxFailures || limitedTeams.has(item.need.team)) return true;
      const result = pool.reserve({ ...item.need, deadlineMs: item.deadlineAt - now });
      const failed = result.swap().toMaybe().extract();
      if (failed?.kind === ErrorKind.TeamLimit) limitedTeams.add(item.need.team);
      else if (failed) failures += 1;
      else item.settle(result);
      return failed !== undefined;
    });
    limitedTeams.forEach(onTeamLimit);
  };

  const runLoop = async () => {
    if (isLooping) return;
    isLooping = true;
    while (items.length > 0) {
      await clock.sleep(retryIntervalMs);
      retryWaiting();
    }
    isLooping = false;
  };

  return {
    retryWaiting,
    onLookupEnded: waitEstimator.recordCompletion,
    size: () => items.length,
    countWaiting: (team, queue) =>
      items.filter(({ need }) => need.team === team && need.queue === queue).length,
    wait: (need, { deadlineAt, signal }) =>
      new Promise((resolve) => {
        const item: QueueItem = { need, deadlineAt, settle: resolve };
        const aheadCount = insert(item);
        const remove = () => {
          items = items.filter((other) => other !== item);
        };
        const expectedWaitMs = waitEstimator.estimateWaitMs(aheadCount);
        if (deadlineAt <= clock.now() || (expectedWaitMs ?? 0) > deadlineAt - clock.now()) {
          remove();
          resolve(makeDeadlineFailure());
          return;
        }
        signal?.addEventListener(
          'abort',
          () => {
            remove();
            resolve(
              Left(
                makeFailure(ErrorKind.Cancelled, 'the caller gave up before the lookup started'),
              ),
            );
          },
          { once: true },
        );
        runLoop().catch(() => undefined);
      }),
  };
}
