/**
 * One loop per owned worker: it renews the leases of all tasks, learns of ended ones, and probes a
 * worker that does not answer.
 */
import { withTimeout } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { publish } from './_capacity.ts';
import { applyReport, loseTasks, reconcile } from './_reconcile.ts';
import { leaseMs } from './_state.ts';
import type { Entry, PoolState } from './_state.ts';

const renewEveryMs = 10_000;
// A renewal that is held open for as long as the lease would let every task's lease expire.
const renewalsPerLease = 3;
const answerGraceMs = 3_000;
// A renewal that arrives later than this is rejected by the worker, so that it extends no lease.
const renewArrivalMs = 2_000;
// A worker repeats ended tasks until they are acknowledged; this bounds the repeats.
const renewSpacingMs = 250;
const listTimeoutMs = 2_000;
const probeEveryMs = 1_000;
const lostMarginMs = 2_000;
const listEveryMs = 60_000;

/** The worker's clock at a later time of this process, early rather than late. */
export function workerTime(entry: Entry, at: number): number {
  // Clocks run at the same rate within 1%.
  return Math.floor(entry.workerClock.ms + Math.max(0, at - entry.workerClock.at) * 0.99);
}

function onFailure(state: PoolState, entry: Entry, failed: Failure | undefined): void {
  if (failed?.kind === ErrorKind.EpochStale) {
    state.parts.ownership.lost(entry.upstream.id);
    return;
  }
  if (entry.reachable) {
    state.parts.log.warn('A worker does not answer.', {
      worker: entry.upstream.id,
      reason: failed?.message ?? 'timeout',
    });
  }
  Object.assign(entry, { reachable: false });
  publish(state, entry);
}

/** Lists the worker's tasks and applies them; false when the worker did not answer. */
export async function listTasks(state: PoolState, entry: Entry): Promise<boolean> {
  const { clock, workers } = state.parts;
  const askedAt = clock.now();
  const answer = await withTimeout(workers.list(entry.upstream, { epoch: entry.epoch }), {
    clock,
    ms: listTimeoutMs,
  });
  if (entry.closed.signal.aborted) return false;
  if (!answer || answer.isLeft()) {
    onFailure(state, entry, answer?.swap().toMaybe().extract());
    return false;
  }
  answer.ifRight((list) => reconcile(state, entry, { list, askedAt }));
  return true;
}

async function renew(state: PoolState, entry: Entry): Promise<void> {
  const { clock, workers } = state.parts;
  const sentAt = clock.now();
  const acknowledged = [...entry.acknowledged];
  const lease = leaseMs(state);
  const everyMs = Math.min(renewEveryMs, lease / renewalsPerLease);
  const arriveBy = sentAt + renewArrivalMs;
  Object.assign(entry, { leaseUntil: Math.max(entry.leaseUntil, arriveBy + lease) });
  const answer = await withTimeout(
    workers.renew(entry.upstream, {
      epoch: entry.epoch,
      leaseMs: lease,
      waitMs: Math.floor(everyMs),
      notAfterMs: workerTime(entry, arriveBy),
      ...(acknowledged.length > 0 ? { acknowledged } : {}),
    }),
    { clock, ms: everyMs + answerGraceMs },
  );
  if (entry.closed.signal.aborted) return;
  const value = answer?.toMaybe().extract();
  if (!value) {
    onFailure(state, entry, answer?.swap().toMaybe().extract());
    return;
  }
  acknowledged.forEach((task) => entry.acknowledged.delete(task));
  const restarted = value.clockMs < entry.workerClock.ms;
  Object.assign(entry, { workerClock: { ms: value.clockMs, at: clock.now() } });
  value.changed.forEach((running) => applyReport(state, entry, running));
  if (entry.leaving !== value.leaving) {
    Object.assign(entry, { leaving: value.leaving });
    publish(state, entry);
  }
  if (restarted || clock.now() - entry.lastListAt >= listEveryMs) await listTasks(state, entry);
  // A worker that does not hold renewals open answers at once.
  const nextAt = sentAt + (value.changed.length > 0 ? renewSpacingMs : everyMs);
  if (nextAt > clock.now()) await clock.sleep(nextAt - clock.now(), entry.closed.signal);
}

async function probe(state: PoolState, entry: Entry): Promise<void> {
  const { clock, random } = state.parts;
  // A list extends no lease. A renewal that is delayed in the network would.
  if (await listTasks(state, entry)) return;
  if (entry.closed.signal.aborted) return;
  if (clock.now() > entry.leaseUntil + lostMarginMs && entry.tasks.size > 0) {
    loseTasks(state, entry, `worker ${entry.upstream.id} did not answer until the lease lapsed`);
  }
  await clock.sleep(probeEveryMs * (0.75 + random() / 2), entry.closed.signal);
}

/** Renews and probes until the worker is released. */
export async function watchWorker(state: PoolState, entry: Entry): Promise<void> {
  const { clock, random } = state.parts;
  await clock.sleep(random() * renewSpacingMs, entry.closed.signal);
  while (!entry.closed.signal.aborted) {
    if (entry.reachable) await renew(state, entry);
    else await probe(state, entry);
  }
}

/** Finds out about starts without an answer, once they cannot begin any more. */
export async function resolveUncertain(state: PoolState, entry: Entry): Promise<void> {
  if (entry.resolving) return;
  Object.assign(entry, { resolving: true });
  const { clock } = state.parts;
  for (;;) {
    const times = [...entry.tasks.values()].flatMap(({ uncertainUntil }) => uncertainUntil ?? []);
    if (times.length === 0 || entry.closed.signal.aborted) break;
    const waitMs = Math.max(...times) - clock.now() + 1;
    if (waitMs > 0) await clock.sleep(waitMs, entry.closed.signal);
    if (entry.closed.signal.aborted) break;
    if (entry.reachable) await listTasks(state, entry);
    if ([...entry.tasks.values()].some((held) => held.uncertainUntil !== undefined)) {
      await clock.sleep(probeEveryMs, entry.closed.signal);
    }
  }
  Object.assign(entry, { resolving: false });
}
