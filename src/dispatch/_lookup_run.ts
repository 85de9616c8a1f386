/**
 * The tries of a lookup: here, at a peer, or here after waiting.
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
import { finalFailure, forCaller, isShortage, mayHandOn, mayResend } from './_lookup_rules.ts';
import type { Lookup, Tries } from './_lookup_rules.ts';
import type { PeerChoice } from './peer_choice.ts';
import type { RetryBudget } from '../table/mod.ts';

/** Collaborators of the lookups. */
export interface LookupParts {
  clock: Clock;
  random: Random;
  pool: Pool;
  peers: Peers;
  peerChoice: PeerChoice;
  requests: Requests;
  membership: Pick<Membership, 'id' | 'phase' | 'isFresh'>;
  settings: Pick<Settings, 'current'>;
  limits: Pick<Limits, 'held' | 'want'>;
  invariants: InvariantChecker;
  log: Logger;
  metrics: Metrics;
  /** Longest run of a lookup. */
  runTimeoutMs?: number;
}

/** What the tries of all lookups share. */
export interface LookupState extends LookupParts {
  runTimeoutMs: number;
  queue: DeadlineQueue & { ended(): void };
  budget: RetryBudget;
}

const maxHandOvers = 3;
// A process without units of the team waits no longer than this before it asks peers again: units
// of a small limit may never come here.
const unitlessWaitMs = 100;

async function runHere(
  state: LookupState,
  { lookup, tries, place }: { lookup: Lookup; tries: Tries; place: Reservation },
): Outcome<LookupAnswer> {
  const { clock, pool, invariants, metrics, runTimeoutMs } = state;
  const { id, need, idempotent, body, arrivedAt, signal } = lookup;
  invariants.check(
    Invariant.AtMostOnce,
    idempotent || tries.unknown === undefined,
    () => `lookup ${id} is not idempotent and is sent again`,
  );
  Object.assign(tries, { sent: tries.sent + 1 });
  tries.workers.push(place.place.worker);
  const waitMs = clock.now() - arrivedAt;
  metrics.timing('lookup.wait', waitMs, { team: need.team });
  // A second try is a task of its own, because the first one may still run.
  const task = tries.sent === 1 ? id : `${id}~${tries.sent}`;
  const answer = await pool.start(
    place,
    { task, attempt: 1, job: id, idempotent, body },
    { timeoutMs: runTimeoutMs, ...(signal ? { signal } : {}) },
  );
  state.queue.ended();
  if (signal?.aborted) await pool.stop(task, 'stop');
  return answer.chain((value) =>
    value.status === 'finished'
      ? Right({
          id,
          worker: place.place.worker,
          waitMs,
          runMs: value.runMs ?? clock.now() - arrivedAt - waitMs,
          ...(value.body === undefined ? {} : { body: value.body }),
        })
      : Left(makeFailure(ErrorKind.TaskFailed, value.message ?? 'the lookup failed on its worker')),
  );
}

async function handOver(
  state: LookupState,
  { lookup, tries }: { lookup: Lookup; tries: Tries },
): Promise<Either<Failure, LookupAnswer> | undefined> {
  const { clock, peers, peerChoice, settings, runTimeoutMs, metrics } = state;
  // JSON drops an undefined body, and the message requires one.
  const { id, need, size, idempotent, body = null, deadlineAt, signal } = lookup;
  const member = peerChoice.choose(need.team, tries.peers);
  if (!member) return undefined;
  tries.peers.add(member.id);
  const remainingMs = deadlineAt - clock.now();
  metrics.count('lookup.handed');
  const answer = await peers(member).lookup(
    {
      id: tries.unknown ? `${id}~${tries.sent + 1}` : id,
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
  answer.ifLeft((failed) => {
    if (hasNotRun(failed)) peerChoice.refused(member.id, need.team);
    else Object.assign(tries, { sent: tries.sent + 1 });
  });
  return answer.map((value) => ({ ...value, id }));
}

/** Asks peers in turn; undefined when none of them ran the lookup or may have run it. */
async function tryPeers(
  state: LookupState,
  { lookup, tries }: { lookup: Lookup; tries: Tries },
): Promise<Either<Failure, LookupAnswer> | undefined> {
  for (let i = 0; i < maxHandOvers && state.clock.now() < lookup.deadlineAt; i++) {
    const answer = await handOver(state, { lookup, tries });
    if (!answer) return undefined;
    const failed = answer.swap().toMaybe().extract();
    if (!failed || !mayHandOn(failed, lookup)) return answer;
  }
  return undefined;
}

/** One try: here, at a peer, or here after waiting. */
async function attempt(
  state: LookupState,
  { lookup, tries }: { lookup: Lookup; tries: Tries },
): Outcome<LookupAnswer> {
  const { pool, limits, queue, clock } = state;
  const { signal } = lookup;
  const need: Need = { ...lookup.need, avoidWorkers: tries.workers };
  const place = pool.reserve(need);
  const reservation = place.toMaybe().extract();
  if (reservation) return runHere(state, { lookup, tries, place: reservation });
  const shortage = place.swap().unsafeCoerce();
  if (!isShortage(shortage)) return Left(shortage);
  const teamHeld = shortage.kind === ErrorKind.TeamLimit;
  if (teamHeld) limits.want(need.team, 1).catch(() => undefined);
  let { deadlineAt } = lookup;
  if (lookup.handed) {
    // Waiting here makes sense when this process holds the team's units, or room comes soon.
    if (teamHeld && limits.held(need.team) === 0) return Left(shortage);
    if (!teamHeld) deadlineAt = (deadlineAt + clock.now()) / 2;
  }
  const triedBefore = [...tries.peers];
  for (;;) {
    const answer = lookup.handed ? undefined : await tryPeers(state, { lookup, tries });
    if (answer) return answer;
    const unitless = !lookup.handed && teamHeld && limits.held(need.team) === 0;
    const until = unitless ? Math.min(deadlineAt, clock.now() + unitlessWaitMs) : deadlineAt;
    const waited = await queue.wait(need, { deadlineAt: until, ...(signal ? { signal } : {}) });
    const granted = waited.toMaybe().extract();
    if (granted) return runHere(state, { lookup, tries, place: granted });
    if (until >= deadlineAt || signal?.aborted) return waited.map((): never => undefined as never);
    // Peers that could start nothing then may hold units by now.
    Object.assign(tries, { peers: new Set(triedBefore) });
  }
}

/** Runs a lookup to its answer, with at most one retry. */
export async function runLookup(state: LookupState, lookup: Lookup): Outcome<LookupAnswer> {
  const { clock, budget, invariants, metrics } = state;
  const tries: Tries = { sent: 0, workers: [], peers: new Set() };
  let answer = await attempt(state, { lookup, tries });
  // The process that accepted a lookup decides on its one retry.
  const maxRetries = lookup.handed ? 0 : 1;
  for (let retries = 0; answer.isLeft() && retries < maxRetries; retries++) {
    const failed = answer.swap().unsafeCoerce();
    if (!hasNotRun(failed)) Object.assign(tries, { unknown: failed });
    const inTime = clock.now() < lookup.deadlineAt && !lookup.signal?.aborted;
    if (isShortage(failed) || !mayResend(failed, lookup) || !inTime || !budget.take()) break;
    metrics.count('lookup.retry');
    answer = await attempt(state, { lookup, tries });
  }
  return answer.mapLeft((failed) => {
    if (!hasNotRun(failed)) Object.assign(tries, { unknown: tries.unknown ?? failed });
    const final = forCaller(finalFailure(tries, failed));
    invariants.check(
      Invariant.NotRun,
      !hasNotRun(final) || tries.unknown === undefined,
      () => `lookup ${lookup.id} may have run and is refused with ${final.kind}`,
    );
    return final;
  });
}
