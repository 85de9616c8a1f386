/**
 * What the scheduler of a cell does for the entry processes: it takes jobs and cancellations into its
 * own transactions, and tells the stored state of a job without a reading of the store.
 *
 * Load answered: hundreds of calls a second. Jobs that arrive together are stored by one transaction,
 * together with the starts that are decided meanwhile.
 */
import type { AcceptedJob, JobState } from '../model/mod.ts';
import { addJob, computeObjectiveMs } from '../scheduler/mod.ts';
import type { Job, RefusalReason } from '../scheduler/mod.ts';
import type { RunEndHandler } from './_run_end_handler.ts';
import type { Term } from './_term_state.ts';
import { acceptedRow } from './rows.ts';

/** What became of a job that was handed to the scheduler. */
export const SubmitResult = {
  Stored: 'stored',
  /** There is no room for it; nothing was written. */
  Overloaded: 'overloaded',
  /** There is no scheduler that could take it; nothing was written. */
  NotTaken: 'not-taken',
  /** It may have been stored. */
  Unknown: 'unknown',
} as const;

/** One of the values of {@link SubmitResult}. */
export type SubmitResult = (typeof SubmitResult)[keyof typeof SubmitResult];

/** The acts of the scheduler for the entry processes. */
export interface CellService {
  submit(job: AcceptedJob): Promise<SubmitResult>;
  /** The stored state of a job; undefined when the scheduler does not know the job. */
  stateOf(jobId: string): JobState | undefined;
  /** Cancels a job; false when it does not know the job or the cancellation may not be stored. */
  cancel(jobId: string): Promise<boolean>;
  /** Time for which the store has answered no attempt to write; 0 while it answers, if slowly. */
  storeFailingMs(): number;
  /** Time for which the store has certainly rejected all that this process writes. */
  storeRejectedMs(): number;
}

/** What the service asks other parts of the term. */
export interface CellServiceOptions {
  isLoaded(): boolean;
  /** Why a further job is refused; undefined when it is not. */
  findRefusalReason(job: AcceptedJob): RefusalReason | undefined;
}

/** What decides where and when a job can run, for its first log line. */
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

/** A store that answers no attempt for so long is taken to turn this process away. */
const maxStoreFailingMs = 250;
const storeCheckIntervalMs = 150;
/** A caller is told that the outcome is unknown when its job is not stored within this time. */
const storeTimeoutMs = 1_500;

/**
 * Makes the service of a term.
 *
 * @example
 * const outcome = await service.submit(job);
 */
export function makeCellService(
  term: Term,
  endHandler: RunEndHandler,
  { isLoaded, findRefusalReason }: CellServiceOptions,
): CellService {
  const { state, clock, log, writer } = term;

  const isActive = () => isLoaded() && !term.endSignal.aborted;

  function mayWrite(): boolean {
    return isActive() && writer.failingMs() < maxStoreFailingMs;
  }

  /** Resolves once the store has failed for a while, or has not answered for long. */
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

  /** Whether all that was decided so far is stored; gives up when the store does not answer. */
  async function waitUntilStored(): Promise<boolean> {
    const abort = new AbortController();
    const isStored = await Promise.race([writer.flush(), waitForStoreFailure(abort.signal)]);
    abort.abort();
    return isStored;
  }

  return {
    async submit(job) {
      // A job that is known may be stored by an earlier call, also when this one writes nothing.
      if (!mayWrite()) return state.jobs.has(job.id) ? SubmitResult.Unknown : SubmitResult.NotTaken;
      if (!state.jobs.has(job.id)) {
        const reason = findRefusalReason(job);
        if (reason !== undefined) {
          const { id, organisation } = job;
          log.info('job turned away', { event: 'job-turned-away', id, organisation, reason });
          return SubmitResult.Overloaded;
        }
        const ageMs = Math.max(0, clock.wallTime() - job.acceptedAtMs);
        const added = addJob(state, job, clock.now() - ageMs);
        writer.markDirty(acceptedRow(job.id), () => JSON.stringify(job));
        log.info('job taken', { event: 'job-taken', ...describeJob(added, ageMs) });
        term.schedulePass();
      }
      return (await waitUntilStored()) ? SubmitResult.Stored : SubmitResult.Unknown;
    },

    stateOf: (jobId) => (isActive() ? state.jobs.get(jobId)?.storedState : undefined),

    async cancel(jobId) {
      if (!mayWrite() || !state.jobs.has(jobId)) return false;
      endHandler.cancel(jobId);
      return waitUntilStored();
    },

    storeFailingMs: writer.failingMs,
    storeRejectedMs: writer.rejectedMs,
  };
}
