/**
 * What reports of workers, and their silence, mean for the runs.
 */
import { RunEnd } from '../model/mod.ts';
import type { EndedRun, WorkerReport } from '../model/mod.ts';
import { RunPhase, runKey } from './state.ts';
import type { CellState, Run, Worker } from './state.ts';

/** A run and the end that a report implies. */
export interface ObservedEnd {
  run: Run;
  end: RunEnd;
  checkpoint: string;
}

/** What a report says beyond what was known. */
export interface Observation {
  ends: ObservedEnd[];
  /** Runs that nobody here ordered. */
  strangers: { task: string; attempt: number }[];
}

const failuresToAvoid = 2;
const avoidMs = 4_000;
const maxAvoidMs = 16_000;

function listedKeys(rows: { task: string; attempt: number }[]): Set<string> {
  return new Set(rows.map(({ task, attempt }) => `${task}#${attempt}`));
}

/** The ends of all runs of a worker whose lease has run out. */
export function endsOfLostWorker(worker: Worker): ObservedEnd[] {
  return [...worker.runs.values()].map((run) => ({ run, end: RunEnd.Expired, checkpoint: '' }));
}

/** The ends of the runs of earlier incarnations, of which the present one knows nothing. */
function endsOfEarlierIncarnations(worker: Worker, bornMs: number): ObservedEnd[] {
  return endsOfLostWorker(worker).filter(({ run }) => run.bornMs !== bornMs);
}

function noteProgress(worker: Worker, report: WorkerReport, nowMs: number): void {
  report.running.forEach(({ task, attempt, checkpoint, percent }) => {
    const run = worker.runs.get(`${task}#${attempt}`);
    if (!run) return;
    if (run.phase === RunPhase.Ordered) {
      run.phase = RunPhase.Running;
      run.progressAtMs = nowMs;
    }
    run.unsettled = false;
    if (percent !== run.percent) {
      run.percent = percent;
      run.progressAtMs = nowMs;
    }
    if (checkpoint !== '') {
      const { tasks, spec } = run.step;
      const members = spec.gang ? tasks : [tasks[run.index]!];
      members.forEach((member) => {
        member.checkpoint = checkpoint;
      });
    }
  });
}

/** Runs that a complete list of the worker no longer shows. */
function missingRuns(
  worker: Worker,
  report: WorkerReport,
  ended: EndedRun[],
  sentAtMs: number,
): ObservedEnd[] {
  const known = listedKeys([...report.running, ...ended]);
  return (
    [...worker.runs.values()]
      .filter((run) => !known.has(runKey(run)))
      // An order that was under way when the list was made may still take effect.
      .filter(
        (run) => run.phase !== RunPhase.Ordered && run.progressAtMs < sentAtMs && !run.unsettled,
      )
      .map((run) => ({ run, end: RunEnd.Expired, checkpoint: '' }))
  );
}

/**
 * Compares a report with what is believed of the worker and notes progress.
 *
 * @example
 * const { ends, strangers } = observe(state, worker, report, { nowMs, sentAtMs });
 */
export function observe(
  worker: Worker,
  report: WorkerReport,
  { nowMs, sentAtMs }: { nowMs: number; sentAtMs: number },
): Observation {
  const ends = endsOfEarlierIncarnations(worker, report.bornMs);
  const isFirst = !worker.isSettled;
  worker.bornMs = report.bornMs;
  worker.isAnswering = true;
  noteProgress(worker, report, nowMs);
  report.ended.forEach(({ task, attempt, end, checkpoint }) => {
    const run = worker.runs.get(`${task}#${attempt}`);
    if (run && !ends.some((known) => known.run === run)) ends.push({ run, end, checkpoint });
  });
  if (isFirst) {
    // The token of this scheduler now keeps out all orders of its predecessors: what the first list
    // does not show has not started and never will.
    const known = listedKeys([...report.running, ...report.ended]);
    [...worker.runs.values()]
      .filter((run) => !known.has(runKey(run)) && !ends.some((each) => each.run === run))
      .forEach((run) => ends.push({ run, end: RunEnd.Expired, checkpoint: '' }));
    worker.isSettled = true;
  } else {
    missingRuns(worker, report, report.ended, sentAtMs)
      .filter(({ run }) => !ends.some((known) => known.run === run))
      .forEach((each) => ends.push(each));
  }
  const strangers = report.running.filter(
    ({ task, attempt }) => !worker.runs.has(`${task}#${attempt}`),
  );
  return { ends, strangers };
}

/** Counts the end of a run for or against its worker. */
export function judgeWorker(worker: Worker, end: RunEnd, nowMs: number): void {
  if (end === RunEnd.Done) {
    worker.failuresInRow = 0;
    return;
  }
  if (end !== RunEnd.Failed) return;
  worker.failuresInRow += 1;
  if (worker.failuresInRow < failuresToAvoid) return;
  const doublings = worker.failuresInRow - failuresToAvoid;
  worker.avoidUntilMs = nowMs + Math.min(maxAvoidMs, avoidMs * 2 ** doublings);
}

/** Share of the work at which a run only waits for the rest of its gang. */
const allPercent = 100;

/** When a run last got on; members of a gang get on together, since those that are done wait. */
function lastProgressMs(run: Run): number {
  if (!run.step.spec.gang) return run.progressAtMs;
  const members = run.step.tasks.flatMap(({ runs }) => runs);
  return Math.max(...members.map(({ progressAtMs }) => progressAtMs));
}

/** The running runs that have shown no progress for the time. */
export function stalledRuns(state: CellState, nowMs: number, stallMs: number): Run[] {
  return [...state.workers.values()]
    .filter(({ isAnswering }) => isAnswering)
    .flatMap(({ runs }) => [...runs.values()])
    .filter(
      (run) =>
        run.phase === RunPhase.Running &&
        !run.step.spec.longRunning &&
        run.percent < allPercent &&
        nowMs - lastProgressMs(run) > stallMs,
    );
}

/** Notes that a worker did not answer. */
export function setSilent(worker: Worker): void {
  worker.isAnswering = false;
}
