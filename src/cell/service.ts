/**
 * What the scheduler of a cell does for the entry processes: it stores jobs and cancellations in its
 * own transactions, and returns the stored state of a job without reading the store.
 *
 * To sustain hundreds of calls a second, jobs that arrive together are stored by one transaction,
 * together with the starts that are decided in the meantime.
 */
import type { AcceptedJob, JobState, RowKey } from '../model/mod.ts';
import { addJob, computeObjectiveMs } from '../scheduler/mod.ts';
import type { Job, RefusalReason } from '../scheduler/mod.ts';
import type { RunEndHandler } from './_run_end_handler.ts';
import type { Term } from './_term_state.ts';
import { acceptedRow, progressRow } from './rows.ts';

/** Result of submitting a job to the scheduler. */
export const SubmitResult = {
  Stored: 'stored',
  /** The job was refused for lack of capacity or because of its organisation's limit; nothing was written. */
  Overloaded: 'overloaded',
  /** No scheduler that can write at the moment was reached; nothing was written. */
  NotTaken: 'not-taken',
  /** The job may have been stored. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link SubmitResult}. */
export type SubmitResult = (typeof SubmitResult)[keyof typeof SubmitResult];

/** The scheduler's interface for entry processes. */
export interface SchedulerService {
  /** Epoch of the term. */
  epoch: number;
  submit(job: AcceptedJob): Promise<SubmitResult>;
  /** The stored state of a job; undefined when the scheduler does not know the job. */
  getStoredState(jobId: string): JobState | undefined;
  /** Cancels a job; false if the job is unknown or the cancellation may not have been stored. */
  cancel(jobId: string): Promise<boolean>;
  /** Time for which writes to the store have failed; 0 while the store works, even if slowly. */
  storeFailingMs(): number;
  /** Time for which the store has certainly rejected all writes of this process. */
  storeRejectedMs(): number;
}

/** Dependencies of the service on other components of the term. */
export interface SchedulerServiceOptions {
  isLoaded(): boolean;
  /** Returns why a further job is refused; undefined when it is not. */
  findRefusalReason(job: AcceptedJob): RefusalReason | undefined;
}

/** Returns what determines where and when a job can run, for its first log line. */
function describeJob(job: Job, ageMs: number) {
  const { id, queue, organisation, terms, spec } = job.accepted;
  const { steps, repetition } = spec;
  return {
    id,
    queue,
    organisation,
    ageMs,
    estimatedMs: job.criticalPathMs,
    objectiveMs: Math.round(computeObjectiveMs(job, terms)),
    tasks: steps.map(({ count }) => count),
    cpu: steps.map(({ need }) => need.cpu),
    requirements: steps.flatMap(({ requirement }) => requirement ?? []),
    ...(repetition ?? {}),
  };
}

/** A store for which writes have failed for this long is considered unavailable to this process. */
const maxStoreFailingMs = 250;
const storeCheckIntervalMs = 150;
/** The result of a submission is unknown if the job is not stored within this time. */
const storeTimeoutMs = 1_500;

/**
 * Makes the service of a term.
 *
 * @example
 * const result = await service.submit(job);
 */
export function makeSchedulerService(
  term: Term,
  endHandler: RunEndHandler,
  { isLoaded, findRefusalReason }: SchedulerServiceOptions,
): SchedulerService {
  const { state, clock, log, writer } = term;

  const isActive = () => isLoaded() && !term.endSignal.aborted;

  function mayWrite(): boolean {
    return isActive() && writer.failingMs() < maxStoreFailingMs;
  }

  /** Resolves once the store has failed two checks in a row, or after a timeout. */
  async function waitForStoreFailure(signal: AbortSignal): Promise<false> {
    const startedAtMs = clock.now();
    let failedChecks = 0;
    while (!signal.aborted && clock.now() - startedAtMs < storeTimeoutMs) {
      await clock.sleep(storeCheckIntervalMs, signal);
      failedChecks = writer.failingMs() > maxStoreFailingMs ? failedChecks + 1 : 0;
      if (failedChecks > 1) return false;
    }
    return false;
  }

  /** Waits until a row and the other changes so far are stored; false when the store fails or does not respond. */
  async function waitUntilStored(row: RowKey): Promise<boolean> {
    const controller = new AbortController();
    const isStored = await Promise.race([
      writer.flush({ rows: [row] }),
      waitForStoreFailure(controller.signal),
    ]);
    controller.abort('the wait has ended');
    return isStored;
  }

  return {
    epoch: term.claim.epoch,

    async submit(job) {
      // An earlier call may have stored a known job, even though this one writes nothing.
      if (!mayWrite()) return state.jobs.has(job.id) ? SubmitResult.Unknown : SubmitResult.NotTaken;
      if (!state.jobs.has(job.id)) {
        const reason = findRefusalReason(job);
        if (reason !== undefined) {
          const { id, organisation } = job;
          log.info('job refused by the scheduler', {
            event: 'job-turned-away',
            id,
            organisation,
            reason,
          });
          return SubmitResult.Overloaded;
        }
        const ageMs = Math.max(0, clock.wallTime() - job.acceptedAtMs);
        const added = addJob(state, job, clock.now() - ageMs);
        writer.markDirty(acceptedRow(job.id), () => JSON.stringify(job));
        log.info('job queued', {
          event: 'job-taken',
          ...describeJob(added, ageMs),
        });
        term.schedulePass();
      }
      return (await waitUntilStored(acceptedRow(job.id)))
        ? SubmitResult.Stored
        : SubmitResult.Unknown;
    },

    getStoredState: (jobId) => (isActive() ? state.jobs.get(jobId)?.storedState : undefined),

    async cancel(jobId) {
      if (!mayWrite() || !state.jobs.has(jobId)) return false;
      endHandler.cancel(jobId);
      return waitUntilStored(progressRow(jobId));
    },

    storeFailingMs: writer.failingMs,
    storeRejectedMs: writer.rejectedMs,
  };
}
