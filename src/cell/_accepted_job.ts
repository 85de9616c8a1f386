/**
 * Decoding of accepted jobs. A malformed one must not get into the state of a scheduler: its successors
 * would load it too.
 */
import type { AcceptedJob, StepSpec } from '../model/mod.ts';

function isNumber(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value);
}

function isStep(value: unknown): boolean {
  const { count, need, estimatedMs, after, maxPerWorker, targetLatencyMs } = (value ??
    {}) as Partial<StepSpec>;
  const { cpu, memoryMb, gpu } = (need ?? {}) as Partial<StepSpec['need']>;
  return (
    [count, cpu, memoryMb, gpu, estimatedMs, maxPerWorker, targetLatencyMs].every(isNumber) &&
    Array.isArray(after)
  );
}

/** Whether a value has the fields of an accepted job on which decisions depend. */
export function isAcceptedJob(value: unknown): value is AcceptedJob {
  const { id, queue, organisation, service, acceptedAtMs, terms, spec } = (value ??
    {}) as Partial<AcceptedJob>;
  const { priority, maxAttempts, targetFactor, targetLatencyMs } = (terms ?? {}) as Partial<
    AcceptedJob['terms']
  >;
  const steps: unknown = (spec as Partial<AcceptedJob['spec']> | null | undefined)?.steps;
  return (
    [id, queue, organisation, service].every((text) => typeof text === 'string') &&
    [acceptedAtMs, priority, maxAttempts, targetFactor, targetLatencyMs].every(isNumber) &&
    Array.isArray(steps) &&
    steps.length > 0 &&
    steps.every(isStep)
  );
}

/**
 * Decodes the row of an accepted job; throws when it is malformed.
 *
 * @example
 * const accepted = decodeAcceptedJob(row);
 */
export function decodeAcceptedJob({ key, value }: { key: string; value: string }): AcceptedJob {
  const decoded: unknown = JSON.parse(value);
  if (!isAcceptedJob(decoded) || decoded.id !== key) {
    throw new Error(`expected the accepted job ${key}, got ${value.slice(0, 80)}`);
  }
  return decoded;
}
