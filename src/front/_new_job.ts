/**
 * The stored form of a job that a client submits.
 */
import type { AcceptedJob, JobSpec, Resources } from '../model/mod.ts';
import { exceedsUpperLimit, maxStartedTasks } from '../scheduler/mod.ts';
import type { RoutedRequest } from './_routed_request.ts';

/** Makes the stored form of a job from the request that submits it. */
export function makeAcceptedJob(
  { queue, organisation, jobId }: Pick<RoutedRequest, 'queue' | 'organisation' | 'jobId'>,
  spec: JobSpec,
  acceptedAtMs: number,
): AcceptedJob {
  const { priority, maxAttempts, targetFactor, targetLatencyMs, advice } = queue;
  return {
    id: jobId,
    queue: queue.name,
    organisation,
    service: queue.service,
    acceptedAtMs,
    terms: {
      priority,
      maxAttempts,
      targetFactor,
      targetLatencyMs,
      ...(advice ? { advice } : {}),
    },
    spec,
  };
}

/** Returns why a job could never be served; undefined if it could. */
export function findSizeProblem(job: AcceptedJob, maxJobBytes: number): string | undefined {
  const gang = job.spec.steps.find((step) => step.gang && step.count > maxStartedTasks);
  if (gang) return `a gang has ${gang.count} tasks, expected at most ${maxStartedTasks}`;
  const bytes = Buffer.byteLength(JSON.stringify(job));
  if (bytes > maxJobBytes) return `the job takes ${bytes} bytes, expected at most ${maxJobBytes}`;
  return undefined;
}

/** Returns which step of a job cannot run within its organisation's upper limit; undefined if all can. */
export function findLimitProblem(
  { steps }: JobSpec,
  upperLimit: Resources | undefined,
): string | undefined {
  const step = steps.findIndex((spec) => exceedsUpperLimit(spec, upperLimit));
  return step < 0 ? undefined : `step ${step} exceeds the upper limit of the organisation`;
}
