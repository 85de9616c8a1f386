/**
 * Lookups that wait for room, earliest deadline first.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Pool, Reservation } from '../pool/mod.ts';
import type { Need } from '../schema/mod.ts';

type Place = Either<Failure, Reservation>;

interface Item {
  need: Need;
  deadlineAt: number;
  settle: (place: Place) => void;
}

/** The waiting lookups of a process. */
export interface DeadlineQueue {
  /** Waits until there is room, at most until the deadline. */
  wait(need: Need, options: { deadlineAt: number; signal?: AbortSignal }): Promise<Place>;
  /** Tries the waiting lookups; called when room may be free. */
  pump(): void;
  size(): number;
  /** How many wait in a queue of a team. */
  waiting(team: string, queue: string): number;
}

const pumpEveryMs = 25;
// Tries after this many that found no room would scan the whole queue for each freed slot.
const maxMisses = 8;
const rateWindowMs = 5_000;
const minCompletions = 20;

/** Estimates when room will be free from how often lookups ended lately. */
function makeRate(clock: Clock) {
  let times: number[] = [];
  return {
    note() {
      times.push(clock.now());
      if (times.length > 2_000) times = times.slice(-1_000);
    },
    /** Expected wait behind this many others; undefined when too little is known. */
    waitMs(ahead: number): number | undefined {
      const since = clock.now() - rateWindowMs;
      const recent = times.filter((at) => at >= since);
      if (recent.length < minCompletions) return undefined;
      const [first = 0] = recent;
      return (ahead + 1) * ((clock.now() - first) / recent.length);
    },
  };
}

function overdue(): Place {
  return Left(
    makeFailure(ErrorKind.DeadlineUnreachable, 'no worker becomes free before the deadline', {
      retryAfterMs: 1_000,
    }),
  );
}

/**
 * Makes the queue.
 *
 * @example
 * const queue = makeDeadlineQueue({ clock, pool, onTeamLimit: (team) => limits.want(team, 1) });
 */
export function makeDeadlineQueue(options: {
  clock: Clock;
  pool: Pick<Pool, 'reserve'>;
  onTeamLimit: (team: string) => void;
}): DeadlineQueue & { ended(): void } {
  const { clock, pool, onTeamLimit } = options;
  const rate = makeRate(clock);
  let items: Item[] = [];
  let looping = false;

  const insert = (item: Item) => {
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

  const pump = () => {
    const now = clock.now();
    const heldTeams = new Set<string>();
    let misses = 0;
    items = items.filter((item) => {
      if (item.deadlineAt <= now) {
        item.settle(overdue());
        return false;
      }
      if (misses >= maxMisses || heldTeams.has(item.need.team)) return true;
      const place = pool.reserve({ ...item.need, deadlineMs: item.deadlineAt - now });
      const failed = place.swap().toMaybe().extract();
      if (failed?.kind === ErrorKind.TeamLimit) heldTeams.add(item.need.team);
      else if (failed) misses += 1;
      else item.settle(place);
      return failed !== undefined;
    });
    heldTeams.forEach(onTeamLimit);
  };

  const loop = async () => {
    if (looping) return;
    looping = true;
    while (items.length > 0) {
      await clock.sleep(pumpEveryMs);
      pump();
    }
    looping = false;
  };

  return {
    pump,
    ended: rate.note,
    size: () => items.length,
    waiting: (team, queue) =>
      items.filter(({ need }) => need.team === team && need.queue === queue).length,
    wait: (need, { deadlineAt, signal }) =>
      new Promise((resolve) => {
        const item: Item = { need, deadlineAt, settle: resolve };
        const ahead = insert(item);
        const remove = () => {
          items = items.filter((other) => other !== item);
        };
        const expected = rate.waitMs(ahead);
        if (deadlineAt <= clock.now() || (expected ?? 0) > deadlineAt - clock.now()) {
          remove();
          resolve(overdue());
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
        loop().catch(() => undefined);
      }),
  };
}
