/**
 * Updates runs and workers from the reports of workers, and detects lost and stalled runs.
 */
import { isTerminalState, RunEnd } from '../model/mod.ts';
import type { WorkerReport } from '../model/mod.ts';
import { formatRunKey, getRunKey, recordCheckpoint, RunPhase } from './state.ts';
import type { CellState, Run, Worker } from './state.ts';

/** The end of a run, either reported or inferred. */
export interface ObservedEnd {
  run: Run;
  end: RunEnd;
  checkpoint: string;
}

/** Differences between a worker's report and the runs known to the scheduler. */
export interface Reconciliation {
  ends: ObservedEnd[];
  /** Listed runs that this scheduler does not know. */
  unknownRuns: { task: string; attempt: number }[];
}

/** After a longer gap, progress before the gap says nothing about a stall. */
const maxReportGapMs = 2_500;
const failuresBeforeBackoff = 2;
const initialBackoffMs = 4_000;
const maxBackoffMs = 16_000;

/** Creates the end of a run that did not start or was lost with its lease. */
export function makeLostRunEnd(run: Run): ObservedEnd {
  return { run, end: RunEnd.Expired, checkpoint: '' };
}

/** Lists the ends of the runs of an unresponsive worker whose leases have expired. */
export function listLostRunEnds(worker: Worker, hasExpired: (run: Run) => boolean): ObservedEnd[] {
  return [...worker.runs.values()].filter(hasExpired).map(makeLostRunEnd);
}

function recordProgress(worker: Worker, report: WorkerReport, nowMs: number): void {
  report.running.forEach(({ task, attempt, checkpoint, percent }) => {
    const run = worker.runs.get(formatRunKey({ task, attempt }));
    if (!run) return;
    if (run.phase === RunPhase.Ordered) {
      run.phase = RunPhase.Running;
      run.progressAtMs = nowMs;
    }
    run.isStartUncertain = false;
    run.lateStartUntilMs = -Infinity;
    run.step.job.hasConfirmedStart = true;
    if (percent !== run.percent) {
      run.percent = percent;
      run.progressAtMs = nowMs;
    }
    recordCheckpoint(run, checkpoint);
  });
}

/** Whether the start order was not sent yet, so that no report can list the run. */
function isUnsent({ isRestored, phase, sends }: Run): boolean {
  return !isRestored && phase === RunPhase.Ordered && sends === 0;
}

/**
 * Whether an incarnation of the worker that started after the run was ordered, and has not responded
 * yet, may carry out its start order: an order without a response can take effect late.
 */
export function mayStartInIncarnation(run: Run, incarnationStartMs: number): boolean {
  const isRepeated = run.isRestored || run.isStartUncertain || run.sends > 1;
  return isRepeated && incarnationStartMs > run.incarnationStartMs;
}

/**
 * Whether a start order without a response may be carried out late, or may have been. A fencing token
 * prevents that in the current incarnation only: until the order is too old, another attempt could overlap
 * with this one, or this one could follow the end of another. After the end of the job there is no other.
 */
export function hasLateStart({ lateStartUntilMs, step }: Run): boolean {
  return lateStartUntilMs > -Infinity && !isTerminalState(step.job.state);
}

/** Whether a start order may still take effect, or took effect after the report was requested. */
function mayStillStart(run: Run, sentAtMs: number): boolean {
  const isOrdered = run.phase === RunPhase.Ordered && !run.isRestored;
  return isOrdered || run.isStartUncertain || run.progressAtMs >= sentAtMs;
}

/**
 * Assigns runs of earlier incarnations that the current incarnation lists or may still start to the
 * current one: a start order names a worker by its id, which all incarnations share.
 */
function adoptRuns(
  worker: Worker,
  { incarnationStartMs: currentMs }: WorkerReport,
  mayExist: (run: Run) => boolean,
): void {
  worker.runs.forEach((run) => {
    if (run.incarnationStartMs !== currentMs && mayExist(run)) run.incarnationStartMs = currentMs;
  });
}

/**
 * Compares a report with the known runs of its worker, and records the reported progress.
 *
 * @example
 * const { ends, unknownRuns } = reconcileReport(worker, report, { nowMs, sentAtMs });
 */
export function reconcileReport(
  worker: Worker,
  report: WorkerReport,
  { nowMs, sentAtMs }: { nowMs: number; sentAtMs: number },
): Reconciliation {
  // The session's fencing token now blocks all earlier orders in this incarnation: a run that was ordered
  // before and is not in the first complete list has not started.
  const isFirst = !worker.isSynced;
  worker.incarnationStartMs = report.incarnationStartMs;
  if (!worker.isResponsive || nowMs - worker.reportedAtMs > maxReportGapMs) {
    worker.observedSinceMs = nowMs;
  }
  worker.reportedAtMs = nowMs;
  worker.isResponsive = true;
  worker.isSynced ||= !report.hasMoreEnds;
  const listed = new Set([...report.running, ...report.ended].map(formatRunKey));
  const mayStart = (run: Run) =>
    (hasLateStart(run) && sentAtMs < run.lateStartUntilMs) ||
    (isFirst ? isUnsent(run) : mayStillStart(run, sentAtMs));
  const mayExist = (run: Run) => listed.has(getRunKey(run)) || mayStart(run);
  adoptRuns(worker, report, mayExist);
  recordProgress(worker, report, nowMs);
  const reported = report.ended.flatMap(({ task, attempt, end, checkpoint }) => {
    const run = worker.runs.get(formatRunKey({ task, attempt }));
    return run ? [{ run, end, checkpoint }] : [];
  });
  const missing = [...worker.runs.values()].filter((run) => !mayExist(run));
  const lost = report.hasMoreEnds ? [] : missing.map(makeLostRunEnd);
  const unknownRuns = report.running.filter(
    (listedRun) => !worker.runs.has(formatRunKey(listedRun)),
  );
  return { ends: [...reported, ...lost], unknownRuns };
}

/** Updates the failure count and the backoff of a worker after the end of a run. */
export function updateWorkerBackoff(worker: Worker, end: RunEnd, nowMs: number): void {
  if (end === RunEnd.Done) {
    worker.consecutiveFailures = 0;
    return;
  }
  if (end !== RunEnd.Failed) return;
  worker.consecutiveFailures += 1;
  if (worker.consecutiveFailures < failuresBeforeBackoff) return;
  const doublings = worker.consecutiveFailures - failuresBeforeBackoff;
  worker.backoffUntilMs = nowMs + Math.min(maxBackoffMs, initialBackoffMs * 2 ** doublings);
}

/** Progress at which a run only waits for the rest of its gang. */
const completePercent = 100;

/** Returns when a run, or any member of its gang, last progressed: members that are done wait. */
function getLastProgressAtMs(run: Run): number {
  if (!run.step.spec.gang) return run.progressAtMs;
  const members = run.step.tasks.flatMap(({ runs }) => runs);
  return Math.max(...members.map(({ progressAtMs }) => progressAtMs));
}

/**
 * Finds the runs whose workers have reported them for `stallMs` without progress. A worker that was
 * silent, or whose reports come late, is not observed in the meantime, so its runs do not count as
 * stalled.
 */
export function findStalledRuns(state: CellState, stallMs: number): Run[] {
  return [...state.workers.values()]
    .filter(({ isResponsive }) => isResponsive)
    .flatMap(({ runs, reportedAtMs, observedSinceMs }) =>
      [...runs.values()].filter(
        (run) =>
          run.phase === RunPhase.Running &&
          !run.step.spec.longRunning &&
          run.percent < completePercent &&
          reportedAtMs - Math.max(observedSinceMs, getLastProgressAtMs(run)) > stallMs,
      ),
    );
}
