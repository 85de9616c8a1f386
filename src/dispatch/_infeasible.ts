/**
 * Ends jobs that, after a change of the settings, fit on no configured worker any more.
 */
import { isEnded } from './_job_machine.ts';
import { activeAttempts, recordInfeasible, waitingTasks } from './_job_model.ts';
import { findInfeasibility } from './_job_requests.ts';
import { recordReason, updateWaitingWork } from './_job_state.ts';
import type { JobsState } from './_job_state.ts';

// Covers upstreams that are removed by mistake, or replaced in two changes of the settings.
const infeasibleGraceMs = 60_000;

/** Ends pending jobs that have been infeasible for the whole grace period. */
export async function endInfeasible(state: JobsState): Promise<void> {
  const { rows, clock, membership, settings, feasibility } = state;
  if (!membership.isFresh()) return;
  const { version } = settings.current();
  const now = clock.now();
  const jobs = rows.all().filter((job) => !isEnded(job));
  const ids = new Set(jobs.map(({ id }) => id));
  feasibility.forEach((_check, id) => ids.has(id) || feasibility.delete(id));
  const endingJobs = jobs.flatMap((job) => {
    const lastCheck = feasibility.get(job.id);
    // A job is checked again only when the settings have changed.
    const isCurrent = lastCheck?.version === version;
    const reason = isCurrent ? lastCheck.reason : findInfeasibility(state, job)?.message;
    const since = reason === undefined ? now : (lastCheck?.since ?? now);
    feasibility.set(job.id, { version, ...(reason === undefined ? {} : { reason, since }) });
    // A placement in flight is safe: it records no attempt for a job that has ended.
    if (reason === undefined || waitingTasks(job).length === 0) return [];
    if (activeAttempts(job).length > 0) return [];
    recordReason(
      state,
      job.id,
      `ends in ${infeasibleGraceMs / 1_000} s unless the settings change: ${reason}`,
    );
    return now - since >= infeasibleGraceMs ? [{ id: job.id, reason }] : [];
  });
  await Promise.all(
    endingJobs.map(async ({ id, reason }) => {
      const updated = await rows.update(id, (job) =>
        recordInfeasible(job, { reason, wall: clock.wallTime() }),
      );
      updated.ifRight((job) => updateWaitingWork(state, job));
    }),
  );
}
