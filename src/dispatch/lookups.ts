/**
 * Handles lookups from request to response. Nothing on this path writes to the table service.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Phase } from '../membership/mod.ts';
import type { RequestClaim } from '../requests/mod.ts';
import type { HandedLookup, LookupAnswer, LookupRequest } from '../schema/mod.ts';
import { makeDeadlineQueue } from './_deadline_queue.ts';
import { checkSize, findQueue, completeSize } from './_feasibility.ts';
import type { Lookup } from './_lookup_rules.ts';
import { runLookup } from './_lookup_run.ts';
import type { LookupParts, LookupState } from './_lookup_run.ts';
import type { Caller } from './dispatch.ts';
import { makeRetryBudget } from '../table/mod.ts';

/** Lookups from callers and those that peers forward. */
export interface Lookups {
  lookup(caller: Caller, request: LookupRequest): Outcome<LookupAnswer>;
  runForwarded(message: HandedLookup, options?: { signal?: AbortSignal }): Outcome<LookupAnswer>;
  /** Counts the lookups in flight. */
  countInFlight(): number;
  dump(): unknown;
}

const defaultEstimateMs = 100;
const defaultRunTimeoutMs = 60_000;
// Limits retries: a retry storm at the end of a fault would double the load at the worst time.
const maxRetryTokens = 20;
const retriesPerMinute = 600;

/** Returns a failure while this process must not accept lookups. */
function checkReadiness(state: LookupState): Failure | undefined {
  if (state.membership.phase() === Phase.Draining) {
    return makeFailure(ErrorKind.Draining, 'this process is shutting down');
  }
  if (!state.membership.isFresh()) {
    return makeFailure(ErrorKind.NotFresh, 'this process has no fresh read of the settings');
  }
  return undefined;
}

/** Validates a request and makes its lookup. */
function acceptLookup(
  state: LookupState,
  { caller, request }: { caller: Caller; request: LookupRequest },
): Either<Failure, Lookup> {
  const { clock, random, membership, settings, queue } = state;
  const fleet = settings.current();
  const notReady = checkReadiness(state);
  if (notReady) return Left(notReady);
  const size = completeSize(request.size);
  const target = { team: caller.team, queue: caller.queue, kind: 'lookup' as const };
  return findQueue(fleet, target)
    .chain((queueSettings) => checkSize(fleet, { queue: queueSettings, size }))
    .chain((queueSettings) => {
      if (queue.countWaiting(caller.team, caller.queue) >= queueSettings.maxWaiting) {
        return Left(
          makeFailure(ErrorKind.QueueFull, `queue ${caller.queue} of team ${caller.team} is full`, {
            expected: queueSettings.maxWaiting,
          }),
        );
      }
      const { dataCentres } = queueSettings;
      const { estimateMs = defaultEstimateMs, idempotent = false } = request;
      const now = clock.now();
      return Right({
        id: `${Math.floor(random() * 2 ** 52).toString(36)}@${membership.id()}`,
        need: {
          ...{ ...target, size, estimateMs },
          ...(dataCentres.length > 0 ? { onlyDataCentres: dataCentres } : {}),
        },
        size,
        body: request.body,
        idempotent,
        arrivedAt: now,
        deadlineAt: now + (request.deadlineMs ?? fleet.policy.urgentDeadlineMs),
        ...(caller.signal ? { signal: caller.signal } : {}),
        isForwarded: false,
      });
    });
}

/** Claims the request id; resolves with the outcome to return when the lookup must not run. */
async function claimRequest(
  { requests }: LookupState,
  { claim, idempotent }: { claim: RequestClaim; idempotent: boolean },
): Promise<Either<Failure, LookupAnswer> | undefined> {
  const claimed = await requests.claim(claim);
  return claimed.caseOf<Either<Failure, LookupAnswer> | undefined>({
    Left(failed) {
      if (idempotent) return undefined;
      requests.withdraw(claim);
      return Left(failed);
    },
    Right(result) {
      if (result.verdict === 'first') return undefined;
      if (result.answer) return Right(result.answer);
      return Left(
        makeFailure(ErrorKind.RequestRepeated, `request id ${claim.request} was used before`),
      );
    },
  });
}

async function runCallerLookup(
  state: LookupState,
  { caller, request }: { caller: Caller; request: LookupRequest },
): Outcome<LookupAnswer> {
  const accepted = acceptLookup(state, { caller, request });
  const lookup = accepted.toMaybe().extract();
  if (!lookup) return accepted.map((): never => undefined as never);
  if (caller.request === undefined) return runLookup(state, lookup);
  const claim = { team: caller.team, request: caller.request, claimant: lookup.id };
  const earlier = await claimRequest(state, { claim, idempotent: lookup.idempotent });
  if (earlier) return earlier;
  const outcome = await runLookup(state, lookup);
  outcome.caseOf({
    Left(failed) {
      if (hasNotRun(failed)) state.requests.withdraw(claim);
    },
    Right: (value) => state.requests.storeResponse(claim, value),
  });
  return outcome;
}

async function runForwardedLookup(
  state: LookupState,
  { message, signal }: { message: HandedLookup; signal?: AbortSignal },
): Outcome<LookupAnswer> {
  const notReady = checkReadiness(state);
  if (notReady) return Left(notReady);
  const { clock, settings } = state;
  const fleet = settings.current();
  if (message.settings > fleet.version) {
    return Left(
      makeFailure(ErrorKind.NotFresh, 'this process has older settings', { got: fleet.version }),
    );
  }
  const { id, team, queue, size, estimateMs, idempotent, body, remainingMs } = message;
  const now = clock.now();
  return findQueue(fleet, { team, queue, kind: 'lookup' }).caseOf<Outcome<LookupAnswer>>({
    Left: (failed) => Promise.resolve(Left(failed)),
    Right: ({ dataCentres }) =>
      runLookup(state, {
        ...{ id, size, body, idempotent, isForwarded: true },
        need: {
          ...{ team, queue, kind: 'lookup', size, estimateMs },
          ...(dataCentres.length > 0 ? { onlyDataCentres: dataCentres } : {}),
        },
        arrivedAt: now,
        deadlineAt: now + remainingMs,
        ...(signal ? { signal } : {}),
      }),
  });
}

/**
 * Makes the lookups of a process.
 *
 * @example
 * const lookups = makeLookups({ clock, random, pool, peers, peerChoice, requests, membership,
 *   settings, limits, invariants, log, metrics });
 * await lookups.lookup({ team: 'millers', queue: 'main' }, { body: { account: 7 } });
 */
export function makeLookups(parts: LookupParts): Lookups {
  const { clock, pool, limits, runTimeoutMs = defaultRunTimeoutMs } = parts;
  const queue = makeDeadlineQueue({
    clock,
    pool,
    onTeamLimit: (team) => limits.requestUnits(team, 1).catch(() => undefined),
  });
  const retryBudget = makeRetryBudget({
    clock,
    capacity: maxRetryTokens,
    refillPerSecond: retriesPerMinute / 60,
  });
  const state: LookupState = { ...parts, runTimeoutMs, queue, retryBudget };
  let open = 0;
  const countOpen = async <T>(running: Promise<T>): Promise<T> => {
    open += 1;
    try {
      return await running;
    } finally {
      open -= 1;
    }
  };
  pool.onCapacityFreed(queue.retryWaiting);
  return {
    lookup: (caller, request) => countOpen(runCallerLookup(state, { caller, request })),
    runForwarded: (message, { signal } = {}) =>
      countOpen(runForwardedLookup(state, { message, ...(signal ? { signal } : {}) })),
    countInFlight: () => open,
    dump: () => ({ open, waiting: queue.size(), retryTokens: retryBudget.available() }),
  };
}
