/**
 * The stored form of a job that a client submits.
 */
import type { AcceptedJob, JobSpec } from '../model/mod.ts';
import type { RoutedRequest } from './_routed_request.ts';

/** Largest stored form of a job, in bytes, so that a transaction of the store holds it. */
export const maxStoredJobBytes = 600_000;

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

/** Whether the store can hold a job. */
export function isStorable(job: AcceptedJob): boolean {
  return Buffer.byteLength(JSON.stringify(job)) <= maxStoredJobBytes;
}
