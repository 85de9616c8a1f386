/**
 * Runs a lookup: on a local worker, at a peer, or on a local worker after waiting.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Clock, Random } from '../clock/mod.ts';
import { ErrorKind, makeFailure, hasNotRun } from '../errors/mod.ts';
import type { Failure, Outcome } from '../errors/mod.ts';
import { Invariant } from '../invariants/mod.ts';
import type { InvariantChecker } from '../invariants/mod.ts';
import type { Limits } from '../limits/mod.ts';
import type { Logger } from '../logs/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { Metrics } from '../metrics/mod.ts';
import type { Peers } from '../peers/mod.ts';
import type { Pool, Reservation } from '../pool/mod.ts';
import type { Requests } from '../requests/mod.ts';
import type { LookupAnswer, Need } from '../schema/mod.ts';
import type { Settings } from '../settings/mod.ts';
import type { DeadlineQueue } from './_deadline_queue.ts';
import {
  pickFinalFailure,
  toCallerFailure,
  isShortage,
  mayForward,
  mayResend,
} from './_lookup_rules.ts';
import type { Lookup, AttemptHistory } from './_lookup_rules.ts';
import type { PeerChoice } from './peer_choice.ts';
import type { RetryBudget } from '../table/mod.ts';

/** Dependencies of the lookups. */
export interface LookupParts {
  clock: Clock;
  random: Random;
  pool: Pool;
  peers: Peers;
  peerChoice: PeerChoice;
  requests: Requests;
  membership: Pick<Membership, 'id' | 'phase' | 'isFresh'>;
  settings: Pick<Settings, 'current'>;
  limits: Pick<Limits, 'held' | 'requestUnits'>;
  invariants: InvariantChecker;
  log: Logger;
  metrics: Metrics;
  /** Longest run time of a lookup. */
  runTimeoutMs?: number;
}

/** State that all lookups of a process share. */
export interface LookupState extends LookupParts {
  runTimeoutMs: number;
  queue: DeadlineQueue & { onLookupEnded(): void };
  retryBudget: RetryBudget;
}

const maxForwards = 3;
// A process without units of the team's limit asks the peers again after this wait: with a small
// limit, it may never get units.
const waitWithoutUnitsMs = 100;

async function runLocally(
  state: LookupState,
  {
    lookup,
    history,
    reservation,
  }: { lookup: Lookup; history: AttemptHistory; reservation: Reservation },
): Outcome<LookupAnswer> {
  const { clock, pool, invariants, metrics, runTimeoutMs } = state;
  const { id, need, idempotent, body, arrivedAt, signal } = lookup;
  invariants.check(
    Invariant.AtMostOnce,
    idempotent || history.unknownOutcome === undefined,
    () => `lookup ${id} is not idempotent and is sent again`,
  );
  Object.assign(history, { sentCount: history.sentCount + 1 });
  history.triedWorkers.push(reservation.place.worker);
  const waitMs = clock.now() - arrivedAt;
  metrics.timing('lookup.wait', waitMs, { team: need.team });
  // A second attempt gets its own task id, because the first one may still run.
  const task = history.sentCount === 1 ? id : `${id}~${history.sentCount}`;
  const outcome = await pool.start(
    reservation,
    { task, attempt: 1, job: id, idempotent, body },
    { timeoutMs: runTimeoutMs, ...(signal ? { signal } : {}) },
  );
  state.queue.onLookupEnded();
  if (signal?.aborted) await pool.stop(task, 'stop');
  return outcome.chain((value) =>
    value.status === 'finished'
      ? Right({
          id,
          worker: reservation.place.worker,
          waitMs,
          runMs: value.runMs ?? clock.now() - arrivedAt - waitMs,
          ...(value.body === undefined ? {} : { body: value.body }),
        })
      : Left(makeFailure(ErrorKind.TaskFailed, value.message ?? 'the lookup failed on its worker')),
  );
}

async function forwardToPeer(
  state: LookupState,
  { lookup, history }: { lookup: Lookup; history: AttemptHistory },
): Promise<Either<Failure, LookupAnswer> | undefined> {
  const { clock, peers, peerChoice, settings, runTimeoutMs, metrics } = state;
  // JSON drops an undefined body, and the message requires one.
  const { id, need, size, idempotent, body = null, deadlineAt, signal } = lookup;
  const member = peerChoice.choose(need.team, history.triedPeers);
  if (!member) return undefined;
  history.triedPeers.add(member.id);
  const remainingMs = deadlineAt - clock.now();
  metrics.count('lookup.handed');
  const outcome = await peers(member).lookup(
    {
      id: history.unknownOutcome ? `${id}~${history.sentCount + 1}` : id,
      team: need.team,
      queue: need.queue,
      size,
      remainingMs,
      estimateMs: need.estimateMs,
      idempotent,
      body,
      settings: settings.current().version,
    },
    { timeoutMs: remainingMs + runTimeoutMs, ...(signal ? { signal } : {}) },
  );
  outcome.ifLeft((failed) => {
    if (hasNotRun(failed)) peerChoice.recordRefusal(member.id, need.team);
    else Object.assign(history, { sentCount: history.sentCount + 1 });
  });
  return outcome.map((value) => ({ ...value, id }));
}

/** Forwards to peers in turn; undefined when the lookup certainly ran at none of them. */
async function tryPeers(
  state: LookupState,
  { lookup, history }: { lookup: Lookup; history: AttemptHistory },
): Promise<Either<Failure, LookupAnswer> | undefined> {
  for (let i = 0; i < maxForwards && state.clock.now() < lookup.deadlineAt; i++) {
    const outcome = await forwardToPeer(state, { lookup, history });
    if (!outcome) return undefined;
    const failed = outcome.swap().toMaybe().extract();
    if (!failed || !mayForward(failed, lookup)) return outcome;
  }
  return undefined;
}

/** Makes one attempt: locally, at a peer, or locally after waiting. */
async function attemptLookup(
  state: LookupState,
  { lookup, history }: { lookup: Lookup; history: AttemptHistory },
): Outcome<LookupAnswer> {
  const { pool, limits, queue, clock } = state;
  const { signal } = lookup;
  const need: Need = { ...lookup.need, avoidWorkers: history.triedWorkers };
  const reserved = pool.reserve(need);
  const reservation = reserved.toMaybe().extract();
  if (reservation) return runLocally(state, { lookup, history, reservation });
  const shortage = reserved.swap().unsafeCoerce();
  if (!isShortage(shortage)) return Left(shortage);
  const isTeamLimited = shortage.kind === ErrorKind.TeamLimit;
  if (isTeamLimited) limits.requestUnits(need.team, 1).catch(() => undefined);
  let { deadlineAt } = lookup;
  if (lookup.isForwarded) {
    // Waiting here is worthwhile only if this process holds units of the team, or if capacity
    // becomes free soon, that is, within half of the remaining time.
    if (isTeamLimited && limits.held(need.team) === 0) return Left(shortage);
    if (!isTeamLimited) deadlineAt = (deadlineAt + clock.now()) / 2;
  }
  const triedBefore = [...history.triedPeers];
  for (;;) {
    const outcome = lookup.isForwarded ? undefined : await tryPeers(state, { lookup, history });
    if (outcome) return outcome;
    const hasNoUnits = !lookup.isForwarded && isTeamLimited && limits.held(need.team) === 0;
    const waitUntil = hasNoUnits
      ? Math.min(deadlineAt, clock.now() + waitWithoutUnitsMs)
      : deadlineAt;
    const waitResult = await queue.wait(need, {
      deadlineAt: waitUntil,
      ...(signal ? { signal } : {}),
    });
    const granted = waitResult.toMaybe().extract();
    if (granted) return runLocally(state, { lookup, history, reservation: granted });
    if (waitUntil >= deadlineAt || signal?.aborted)
      return waitResult.map((): never => undefined as never);
    // Peers that could not start the lookup before may hold units by now.
    Object.assign(history, { triedPeers: new Set(triedBefore) });
  }
}

/** Runs a lookup to its final outcome, with at most one retry. */
export async function runLookup(state: LookupState, lookup: Lookup): Outcome<LookupAnswer> {
  const { clock, retryBudget, invariants, metrics } = state;
  const history: AttemptHistory = { sentCount: 0, triedWorkers: [], triedPeers: new Set() };
  let outcome = await attemptLookup(state, { lookup, history });
  // Only the process that accepted the lookup from the caller may retry it, once.
  const maxRetries = lookup.isForwarded ? 0 : 1;
  for (let retries = 0; outcome.isLeft() && retries < maxRetries; retries++) {
    const failed = outcome.swap().unsafeCoerce();
    if (!hasNotRun(failed)) Object.assign(history, { unknownOutcome: failed });
    const isInTime = clock.now() < lookup.deadlineAt && !lookup.signal?.aborted;
    if (isShortage(failed) || !mayResend(failed, lookup) || !isInTime || !retryBudget.take()) break;
    metrics.count('lookup.retry');
    outcome = await attemptLookup(state, { lookup, history });
  }
  return outcome.mapLeft((failed) => {
    if (!hasNotRun(failed))
      Object.assign(history, { unknownOutcome: history.unknownOutcome ?? failed });
    const final = toCallerFailure(pickFinalFailure(history, failed));
    invariants.check(
      Invariant.NotRun,
      !hasNotRun(final) || history.unknownOutcome === undefined,
      () => `lookup ${lookup.id} may have run and is refused with ${final.kind}`,
    );
    return final;
  });
}
