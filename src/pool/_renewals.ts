/**
 * Lease renewal, one loop per owned worker: renews the leases of all its tasks, receives the ended
 * ones, and probes the worker while it is unresponsive.
 */
import { withTimeout } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { updatePlacement } from './_capacity.ts';
import { applyReportedTask, markTasksLost, reconcileWorker } from './_reconcile.ts';
import { getLeaseMs } from './_state.ts';
import type { PoolState, WorkerRecord } from './_state.ts';

const renewalIntervalMs = 10_000;
// A renewal request held open for a whole lease would let the lease of every task expire.
const renewalsPerLease = 3;
const responseGraceMs = 3_000;
// The worker rejects a renewal that arrives later than this, so that it extends no lease.
const maxRenewalTransitMs = 2_000;
// A worker repeats ended tasks until they are acknowledged; this bounds the rate of repeats.
const minRenewalIntervalMs = 250;
const listTimeoutMs = 2_000;
const probeIntervalMs = 1_000;
const lostMarginMs = 2_000;
const listIntervalMs = 60_000;

/** Estimates the worker's clock at a time of this process, erring on the early side. */
export function estimateWorkerTimeMs(record: WorkerRecord, at: number): number {
  // Clock rates differ by at most 1%.
  return Math.floor(record.workerClock.ms + Math.max(0, at - record.workerClock.at) * 0.99);
}

function handleFailure(state: PoolState, record: WorkerRecord, failure: Failure | undefined): void {
  if (failure?.kind === ErrorKind.EpochStale) {
    state.options.ownership.lost(record.upstream.id);
    return;
  }
  if (record.reachable) {
    state.options.log.warn('A worker is unresponsive.', {
      worker: record.upstream.id,
      reason: failure?.message ?? 'timeout',
    });
  }
  Object.assign(record, { reachable: false });
  updatePlacement(state, record);
}

/** Fetches the worker's task list and reconciles it. Returns false without a response. */
export async function listTasks(state: PoolState, record: WorkerRecord): Promise<boolean> {
  const { clock, workers } = state.options;
  const askedAt = clock.now();
  const response = await withTimeout(workers.list(record.upstream, { epoch: record.epoch }), {
    clock,
    ms: listTimeoutMs,
  });
  if (record.closed.signal.aborted) return false;
  if (!response || response.isLeft()) {
    handleFailure(state, record, response?.swap().toMaybe().extract());
    return false;
  }
  response.ifRight((list) => reconcileWorker(state, record, { list, askedAt }));
  return true;
}

async function renewLeases(state: PoolState, record: WorkerRecord): Promise<void> {
  const { clock, workers } = state.options;
  const sentAt = clock.now();
  const acknowledged = [...record.acknowledged];
  const leaseDurationMs = getLeaseMs(state);
  const intervalMs = Math.min(renewalIntervalMs, leaseDurationMs / renewalsPerLease);
  const arrivalDeadline = sentAt + maxRenewalTransitMs;
  Object.assign(record, {
    leaseUntil: Math.max(record.leaseUntil, arrivalDeadline + leaseDurationMs),
  });
  const response = await withTimeout(
    workers.renew(record.upstream, {
      epoch: record.epoch,
      leaseMs: leaseDurationMs,
      waitMs: Math.floor(intervalMs),
      notAfterMs: estimateWorkerTimeMs(record, arrivalDeadline),
      ...(acknowledged.length > 0 ? { acknowledged } : {}),
    }),
    { clock, ms: intervalMs + responseGraceMs },
  );
  if (record.closed.signal.aborted) return;
  const renewal = response?.toMaybe().extract();
  if (!renewal) {
    handleFailure(state, record, response?.swap().toMaybe().extract());
    return;
  }
  acknowledged.forEach((task) => record.acknowledged.delete(task));
  const hasRestarted = renewal.clockMs < record.workerClock.ms;
  Object.assign(record, { workerClock: { ms: renewal.clockMs, at: clock.now() } });
  renewal.changed.forEach((reported) => applyReportedTask(state, record, reported));
  if (record.leaving !== renewal.leaving) {
    Object.assign(record, { leaving: renewal.leaving });
    updatePlacement(state, record);
  }
  if (hasRestarted || clock.now() - record.lastListAt >= listIntervalMs)
    await listTasks(state, record);
  // A worker that does not hold renewal requests open responds at once.
  const nextAt = sentAt + (renewal.changed.length > 0 ? minRenewalIntervalMs : intervalMs);
  if (nextAt > clock.now()) await clock.sleep(nextAt - clock.now(), record.closed.signal);
}

async function probeWorker(state: PoolState, record: WorkerRecord): Promise<void> {
  const { clock, random } = state.options;
  // Probes with a task list: a renewal that is delayed in the network would extend leases.
  if (await listTasks(state, record)) return;
  if (record.closed.signal.aborted) return;
  if (clock.now() > record.leaseUntil + lostMarginMs && record.tasks.size > 0) {
    markTasksLost(
      state,
      record,
      `worker ${record.upstream.id} did not answer until the lease lapsed`,
    );
  }
  await clock.sleep(probeIntervalMs * (0.75 + random() / 2), record.closed.signal);
}

/** Renews the leases of a worker, or probes it, until it is released. */
export async function watchWorker(state: PoolState, record: WorkerRecord): Promise<void> {
  const { clock, random } = state.options;
  await clock.sleep(random() * minRenewalIntervalMs, record.closed.signal);
  while (!record.closed.signal.aborted) {
    if (record.reachable) await renewLeases(state, record);
    else await probeWorker(state, record);
  }
}

/** Resolves starts without a response once they cannot take effect any more. */
export async function resolveUncertainStarts(
  state: PoolState,
  record: WorkerRecord,
): Promise<void> {
  if (record.isResolving) return;
  Object.assign(record, { isResolving: true });
  const { clock } = state.options;
  for (;;) {
    const startDeadlines = [...record.tasks.values()].flatMap(
      ({ uncertainUntil }) => uncertainUntil ?? [],
    );
    if (startDeadlines.length === 0 || record.closed.signal.aborted) break;
    const waitMs = Math.max(...startDeadlines) - clock.now() + 1;
    if (waitMs > 0) await clock.sleep(waitMs, record.closed.signal);
    if (record.closed.signal.aborted) break;
    if (record.reachable) await listTasks(state, record);
    if ([...record.tasks.values()].some((tracked) => tracked.uncertainUntil !== undefined)) {
      await clock.sleep(probeIntervalMs, record.closed.signal);
    }
  }
  Object.assign(record, { isResolving: false });
}
