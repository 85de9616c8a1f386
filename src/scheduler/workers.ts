/**
 * What reports of workers, and their silence, mean for the runs.
 */
import { RunEnd } from '../model/mod.ts';
import type { WorkerReport } from '../model/mod.ts';
import { recordCheckpoint, formatRunKey, RunPhase, getRunKey } from './state.ts';
import type { CellState, Run, Worker } from './state.ts';

/** A run and the end that a report implies. */
export interface ObservedEnd {
  run: Run;
  end: RunEnd;
  checkpoint: string;
}

/** What a report says beyond what was known. */
export interface Reconciliation {
  ends: ObservedEnd[];
  /** Runs that nobody here ordered. */
  unknownRuns: { task: string; attempt: number }[];
}

const failuresBeforeBackoff = 2;
const initialBackoffMs = 4_000;
const maxBackoffMs = 16_000;

/** The end of a run that its worker does not list: it did not start, or was lost. */
export function makeLostRunEnd(run: Run): ObservedEnd {
  return { run, end: RunEnd.Expired, checkpoint: '' };
}

/** The ends of all runs of a worker whose lease has run out. */
export function listLostRunEnds(worker: Worker): ObservedEnd[] {
  return [...worker.runs.values()].map(makeLostRunEnd);
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
    run.step.job.hasConfirmedStart = true;
    if (percent !== run.percent) {
      run.percent = percent;
      run.progressAtMs = nowMs;
    }
    recordCheckpoint(run, checkpoint);
  });
}

/** Whether an order of this scheduler may still take effect, or did after the list was asked for. */
function mayStillStart(run: Run, sentAtMs: number): boolean {
  return run.phase === RunPhase.Ordered || run.isStartUncertain || run.progressAtMs >= sentAtMs;
}

/**
 * Makes runs of earlier incarnations that the present one lists, or may still begin, runs of the present
 * one: an order names a worker by its id, which outlives an incarnation.
 */
function adoptRuns(
  worker: Worker,
  { incarnationStartMs }: WorkerReport,
  isPresent: (run: Run) => boolean,
): void {
  worker.runs.forEach((run) => {
    if (run.incarnationStartMs !== incarnationStartMs && isPresent(run))
      run.incarnationStartMs = incarnationStartMs;
  });
}

/**
 * Compares a report with what is believed of the worker and notes progress.
 *
 * @example
 * const { ends, unknownRuns } = observe(worker, report, { nowMs, sentAtMs });
 */
export function reconcileReport(
  worker: Worker,
  report: WorkerReport,
  { nowMs, sentAtMs }: { nowMs: number; sentAtMs: number },
): Reconciliation {
  // The token of this scheduler now keeps out all orders of its predecessors: what the first whole
  // list does not show has not started and never will.
  const isFirst = !worker.isSynced;
  worker.incarnationStartMs = report.incarnationStartMs;
  worker.isAnswering = true;
  worker.isSynced ||= !report.hasMoreEnds;
  const listed = new Set([...report.running, ...report.ended].map(formatRunKey));
  const mayStart = (run: Run) => !isFirst && mayStillStart(run, sentAtMs);
  const isPresent = (run: Run) => listed.has(getRunKey(run)) || mayStart(run);
  adoptRuns(worker, report, isPresent);
  recordProgress(worker, report, nowMs);
  const reported = report.ended.flatMap(({ task, attempt, end, checkpoint }) => {
    const run = worker.runs.get(formatRunKey({ task, attempt }));
    return run ? [{ run, end, checkpoint }] : [];
  });
  const absent = [...worker.runs.values()].filter((run) => !isPresent(run));
  const lost = report.hasMoreEnds ? [] : absent.map(makeLostRunEnd);
  const unknownRuns = report.running.filter((each) => !worker.runs.has(formatRunKey(each)));
  return { ends: [...reported, ...lost], unknownRuns };
}

/** Counts the end of a run for or against its worker. */
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

/** Share of the work at which a run only waits for the rest of its gang. */
const completePercent = 100;

/** When a run last got on; members of a gang get on together, since those that are done wait. */
function getLastProgressAtMs(run: Run): number {
  if (!run.step.spec.gang) return run.progressAtMs;
  const members = run.step.tasks.flatMap(({ runs }) => runs);
  return Math.max(...members.map(({ progressAtMs }) => progressAtMs));
}

/** The running runs that have shown no progress for the time. */
export function findStalledRuns(state: CellState, nowMs: number, stallMs: number): Run[] {
  return [...state.workers.values()]
    .filter(({ isAnswering }) => isAnswering)
    .flatMap(({ runs }) => [...runs.values()])
    .filter(
      (run) =>
        run.phase === RunPhase.Running &&
        !run.step.spec.longRunning &&
        run.percent < completePercent &&
        nowMs - getLastProgressAtMs(run) > stallMs,
    );
}
