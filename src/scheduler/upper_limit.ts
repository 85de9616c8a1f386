/**
 * Upper limits of organisations: how much of a step they let start.
 *
 * A task, or a gang, may be larger than the limit, which the operator can lower at any time. Such a job is
 * refused when it is submitted. One that was accepted before exceeds the limit by one task, as otherwise
 * it could never run, but only while the organisation uses little.
 */
import {
  addResources,
  countFittingCopies,
  fits,
  multiplyResources,
  noResources,
  subtractResources,
  toUpperBound,
} from '../model/mod.ts';
import type { Resources, StepSpec } from '../model/mod.ts';
import type { Step } from './state.ts';

/** Fraction of its limit that an organisation may use when a larger task starts. */
const maxUsedFraction = 0.5;

/** Returns the number of tasks that start together. */
function getMinTasks({ gang, count }: StepSpec): number {
  return gang ? count : 1;
}

/**
 * Whether a task of the step, or its gang, exceeds an upper limit even if nothing else runs.
 *
 * @example
 * exceedsUpperLimit(step.spec, organisation.upperLimit);
 */
export function exceedsUpperLimit(spec: StepSpec, upperLimit: Resources | undefined): boolean {
  if (!upperLimit) return false;
  return !fits(multiplyResources(spec.need, getMinTasks(spec)), toUpperBound(upperLimit));
}

/** Whether a step that exceeds the limit even alone may start beside the present usage. */
function mayExceedLimit(spec: StepSpec, usage: Resources, limit: Resources): boolean {
  const allButOne = multiplyResources(spec.need, getMinTasks(spec) - 1);
  return (
    fits(usage, multiplyResources(limit, maxUsedFraction)) &&
    fits(addResources(usage, allButOne), limit)
  );
}

/** Counts how many further tasks of the step its organisation's upper limit lets start. */
export function countTasksWithinLimit(
  { spec }: Step,
  usage: Resources = noResources,
  upperLimit?: Resources,
): number {
  if (!upperLimit) return Infinity;
  const limit = toUpperBound(upperLimit);
  if (!exceedsUpperLimit(spec, upperLimit)) {
    return countFittingCopies(spec.need, subtractResources(limit, usage));
  }
  return mayExceedLimit(spec, usage, limit) ? getMinTasks(spec) : 0;
}

/**
 * Whether the order of a run whose need is part of the usage may be sent: the limit may have been lowered
 * since its decision.
 */
export function isStartWithinLimit(
  { spec }: Step,
  usage: Resources = noResources,
  upperLimit?: Resources,
): boolean {
  if (!upperLimit) return true;
  const limit = toUpperBound(upperLimit);
  if (fits(usage, limit)) return true;
  return exceedsUpperLimit(spec, upperLimit) && fits(subtractResources(usage, spec.need), limit);
}
