/**
 * Applies the ends of runs and cancellations of jobs to the state, and stops runs that are no longer
 * needed.
 */
import { logFailure } from '../logs/mod.ts';
import { isTerminalState } from '../model/mod.ts';
import { cancelJob, endRun, getTaskName, getQueueTerms } from '../scheduler/mod.ts';
import type { Job, ObservedEnd, Run } from '../scheduler/mod.ts';
import type { OrderSender } from './_orders.ts';
import type { Term } from './_term_state.ts';

/** Handles the ends of runs and the cancellation of jobs. */
export interface RunEndHandler {
  /** Applies ends to the state and marks their jobs; `reason` says how the ends are known. */
  applyEnds(ends: ObservedEnd[], reason: string): void;
  cancel(jobId: string): void;
  stopRuns(runs: Run[], reason: string): void;
}

/**
 * Makes the run end handler of a term.
 *
 * @example
 * endHandler.applyEnds([{ run, end: 'done', checkpoint: '' }], 'reported');
 */
export function makeRunEndHandler(term: Term, orderSender: () => OrderSender): RunEndHandler {
  const { state, clock, log } = term;

  function stopRuns(runs: Run[], reason: string): void {
    runs.forEach((run) => {
      orderSender().stop(run, reason).catch(logFailure(log, 'a stop order'));
    });
  }

  function getMaxAttempts(job: Job): number {
    const queues = term.operatorState()?.configuration.queues ?? [];
    return getQueueTerms(
      job,
      queues.find(({ name }) => name === job.accepted.queue),
    ).maxAttempts;
  }

  function logJobEnd(job: Job, nowMs: number): void {
    log.info('job ended', {
      event: 'job-ended',
      id: job.accepted.id,
      state: job.state,
      afterMs: Math.round(nowMs - job.acceptedAtMs),
    });
  }

  function applyEnd({ run, end, checkpoint }: ObservedEnd, reason: string): void {
    const nowMs = clock.now();
    const { job } = run.step;
    const wasTerminal = isTerminalState(job.state);
    const { runsToStop } = endRun(
      state,
      run,
      { end, checkpoint },
      { maxAttempts: getMaxAttempts(job), nowMs },
    );
    log.info('ended', {
      event: 'ended',
      id: job.accepted.id,
      task: getTaskName(run),
      attempt: run.attempt,
      worker: run.workerId,
      how: end,
      reason,
    });
    if (!wasTerminal && isTerminalState(job.state)) logJobEnd(job, nowMs);
    stopRuns(runsToStop, `caused by the end of ${getTaskName(run)}`);
    term.markJobDirty(job);
    if (!wasTerminal && isTerminalState(job.state)) flushNow();
  }

  /** Stores changes at once, since clients see the end of a job only after it is stored. */
  function flushNow(): void {
    term.writer.flush().catch(logFailure(log, 'the batch writer'));
  }

  return {
    applyEnds: (ends, reason) => ends.forEach((each) => applyEnd(each, reason)),

    cancel(jobId) {
      const job = state.jobs.get(jobId);
      if (!job || isTerminalState(job.state)) return;
      const runs = cancelJob(state, job, clock.now());
      logJobEnd(job, clock.now());
      stopRuns(runs, 'job cancelled');
      term.markJobDirty(job);
      flushNow();
    },

    stopRuns,
  };
}
