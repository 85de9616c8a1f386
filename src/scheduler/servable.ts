/**
 * Finds jobs that the workers could not run even if nothing else ran on them.
 */
import { countFittingCopies } from '../model/mod.ts';
import type { AcceptedJob, Resources, StepSpec, WorkerEntry } from '../model/mod.ts';

/** The workers to look at, as often as needed. */
interface WorkerSource {
  values(): Iterable<{ entry: WorkerEntry }>;
}

/** Returns what a task allocates on its worker; one that fills idle capacity allocates no CPU. */
export function getAllocation({ fillsIdleCapacity, need }: StepSpec): Resources {
  return fillsIdleCapacity ? { ...need, cpu: 0 } : need;
}

/** Whether a worker belongs to the service and has the label that the step requires. */
export function canServe(
  { service, labels }: WorkerEntry,
  { requirement }: StepSpec,
  wantedService: string,
): boolean {
  return service === wantedService && (requirement === undefined || labels.includes(requirement));
}

/** Counts the tasks of a step that an empty worker takes. */
function countTasks({ capacity }: WorkerEntry, spec: StepSpec): number {
  const byCapacity = countFittingCopies(getAllocation(spec), capacity);
  return spec.maxPerWorker === 0 ? byCapacity : Math.min(byCapacity, spec.maxPerWorker);
}

function isStepServable(spec: StepSpec, service: string, workers: WorkerSource): boolean {
  const wantedTasks = spec.gang ? spec.count : 1;
  let tasks = 0;
  for (const { entry } of workers.values()) {
    if (canServe(entry, spec, service)) tasks += countTasks(entry, spec);
    if (tasks >= wantedTasks) return true;
  }
  return false;
}

function hasWorkers(workers: WorkerSource, service: string): boolean {
  for (const { entry } of workers.values()) {
    if (entry.service === service) return true;
  }
  return false;
}

/**
 * Whether the workers could run each step of a job if they were empty: they have a task's size and label,
 * and capacity for all tasks of a gang. Without any worker of the service, nothing is known.
 *
 * @example
 * isServable(job, state.workers);
 */
export function isServable({ service, spec }: AcceptedJob, workers: WorkerSource): boolean {
  if (!hasWorkers(workers, service)) return true;
  return spec.steps.every((step) => isStepServable(step, service, workers));
}
