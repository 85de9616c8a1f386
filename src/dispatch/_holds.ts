/**
 * The worker owner's part in placing tasks. Owners of job partitions hold places on its workers (a
 * reservation that expires), commit or release them, stop tasks, and query the state of attempts.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock } from '../clock/mod.ts';
import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import type { Limits } from '../limits/mod.ts';
import type { Peer } from '../peers/mod.ts';
import type { Pool, Reservation } from '../pool/mod.ts';
import type {
  CommitAnswer,
  CommitQuestion,
  CommitTask,
  HoldAnswer,
  HoldQuestion,
} from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';

/** Handlers of the requests that owners of job partitions send to the owner of the workers. */
export interface Holds extends Pick<Peer, 'commit' | 'release' | 'stop' | 'attempt'> {
  /** Reserves capacity for up to `count` tasks. Fails when there is not enough for even one. */
  hold(request: HoldQuestion): Either<Failure, HoldAnswer>;
  size(): number;
}

const holdExpiryMs = 2_000;

interface ActiveHold {
  job: string;
  reservations: Reservation[];
  expiryAbort: AbortController;
}

/**
 * Creates the holds of a process.
 *
 * @example
 * const holds = makeHolds({ clock, pool, settings, limits });
 * holds.hold({ hold: 'h1', job: 'j1', need, count: 2, settings: 4 });
 */
export function makeHolds(options: {
  clock: Clock;
  pool: Pool;
  settings: Pick<Settings, 'current'>;
  limits: Pick<Limits, 'requestUnits'>;
}): Holds {
  const { clock, pool, settings, limits } = options;
  const holds = new Map<string, ActiveHold>();

  const removeHold = (hold: string) => {
    const held = holds.get(hold);
    if (!held) return undefined;
    holds.delete(hold);
    held.expiryAbort.abort();
    return held;
  };
  const releaseHold = (hold: string) => {
    removeHold(hold)?.reservations.forEach((reservation) => pool.cancel(reservation));
  };

  const startTask = async (
    { idempotent, body }: CommitQuestion,
    { task, job, reservation }: { task: CommitTask; job: string; reservation?: Reservation },
  ) => {
    if (!reservation) {
      return { task: task.task, outcome: 'not-run' as const, message: 'the hold has expired' };
    }
    const { attempt } = task;
    const response = await pool.start(reservation, {
      task: task.task,
      attempt,
      job,
      idempotent,
      body,
    });
    return response.caseOf<CommitAnswer['tasks'][number]>({
      Left: (failure) => ({
        task: task.task,
        outcome: hasNotRun(failure) ? 'not-run' : 'unknown',
        message: failure.message,
      }),
      Right: () => ({ task: task.task, outcome: 'running' }),
    });
  };

  return {
    hold(request) {
      const { hold, job, need, count } = request;
      const { version } = settings.current();
      if (request.settings > version) {
        return Left(
          makeFailure(ErrorKind.NotFresh, 'this process has older settings', { got: version }),
        );
      }
      const reservations: Reservation[] = [];
      let next = pool.reserve(need);
      while (next.isRight()) {
        reservations.push(next.unsafeCoerce());
        if (reservations.length >= count) break;
        next = pool.reserve(need);
      }
      // The caller retries; by then, units of the team's limit may have been borrowed.
      if (next.isLeft() && next.extract().kind === ErrorKind.TeamLimit) {
        limits.requestUnits(need.team, count - reservations.length).catch(() => undefined);
      }
      if (reservations.length === 0) return next.map(() => ({ hold, places: [] }));
      const held: ActiveHold = { job, reservations, expiryAbort: new AbortController() };
      holds.set(hold, held);
      clock
        .sleep(holdExpiryMs, held.expiryAbort.signal)
        .then(() => holds.get(hold) === held && releaseHold(hold))
        .catch(() => undefined);
      return Right({ hold, places: reservations.map(({ place }) => place) });
    },
    async commit(request) {
      const held = removeHold(request.hold);
      const unusedReservations = [...(held?.reservations ?? [])];
      const starts = request.tasks.map((task) => {
        const i = unusedReservations.findIndex(({ place }) => place.worker === task.worker);
        const [reservation] = i >= 0 ? unusedReservations.splice(i, 1) : [];
        return startTask(request, {
          task,
          job: held?.job ?? '',
          ...(reservation ? { reservation } : {}),
        });
      });
      unusedReservations.forEach((reservation) => pool.cancel(reservation));
      return Right({ tasks: await Promise.all(starts) });
    },
    async release({ hold }) {
      releaseHold(hold);
      return Right(undefined);
    },
    async stop({ tasks, mode }): Outcome<void> {
      const results = await Promise.all(tasks.map(({ task }) => pool.stop(task, mode)));
      // A task that isn't running counts as stopped.
      const failures = results.flatMap((one) => one.swap().toMaybe().toList());
      const otherFailure = failures.find(({ kind }) => kind !== ErrorKind.NotFound);
      return otherFailure ? Left(otherFailure) : Right(undefined);
    },
    attempt: async ({ task, attempt, worker }) =>
      Right({ state: pool.getAttemptState(task, attempt, worker) }),
    size: () => holds.size,
  };
}
