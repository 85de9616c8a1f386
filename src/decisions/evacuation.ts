/**
 * Evacuation of a data centre that goes out of service, and the ramp-up of workers that return.
 */

/** A task in a data centre that is being evacuated. */
export interface EvacuationCandidate {
  task: string;
  kind: 'batch' | 'gang' | 'service';
  /** Number of processors allocated to the task. */
  processors: number;
  startedAt: number;
  /** Estimated remaining run time. */
  remainingMs: number;
  checkpoint: boolean;
  deadlineAt?: number;
}

/** A task to move now, and how. */
export interface EvacuationStep {
  task: string;
  /** `replace` starts a replacement before the stop; `checkpoint` stops with a checkpoint. */
  mode: 'replace' | 'checkpoint';
  reason: string;
}

// A task with less slack before its deadline than this moves before all batch work without one.
const urgentSlackMs = 600_000;

/**
 * Selects the tasks to move in the next interval by priority: services first, then tasks close to
 * their deadline, then those with the most completed work to lose. Tasks without a checkpoint keep
 * running, since a move would lose their work. The rate and the free capacity of the other data
 * centres limit the number of tasks.
 *
 * @example
 * planEvacuation({ tasks, now, tasksPerSecond: 5, intervalMs: 1_000, freeProcessors: 40 });
 */
export function planEvacuation({
  tasks,
  now,
  tasksPerSecond,
  intervalMs,
  freeProcessors,
  outAt = Infinity,
}: {
  tasks: EvacuationCandidate[];
  now: number;
  tasksPerSecond: number;
  intervalMs: number;
  /** Free processors in the other data centres. */
  freeProcessors: number;
  /** Time at which the hosts stop, if known. */
  outAt?: number;
}): EvacuationStep[] {
  const computePriority = (task: EvacuationCandidate) => {
    if (task.kind === 'service') return Infinity;
    const slack = (task.deadlineAt ?? Infinity) - now - task.remainingMs;
    const workAtRisk = (now - task.startedAt) * task.processors;
    return workAtRisk + (slack < urgentSlackMs ? 1e12 : 0);
  };
  const describeReason = (task: EvacuationCandidate) => {
    if (task.kind === 'service') return 'its data centre leaves; replaced before it is stopped';
    const seconds = Math.round((now - task.startedAt) / 1_000);
    return `its data centre leaves; a checkpoint keeps ${seconds} s of work`;
  };
  const maxSteps = Math.max(1, Math.floor((tasksPerSecond * intervalMs) / 1_000));
  let remainingProcessors = freeProcessors;
  const steps: EvacuationStep[] = [];
  tasks
    .filter((task) => task.kind === 'service' || task.checkpoint)
    // Tasks that end before the hosts stop are not moved.
    .filter(
      (task) => task.kind === 'service' || now + task.remainingMs > outAt || outAt === Infinity,
    )
    .sort((left, right) => {
      const [a, b] = [computePriority(left), computePriority(right)];
      return a === b ? 0 : b - a;
    })
    .forEach((task) => {
      // A task keeps running until another data centre has free capacity for it.
      if (steps.length >= maxSteps || remainingProcessors < task.processors) return;
      remainingProcessors -= task.processors;
      steps.push({
        task: task.task,
        mode: task.kind === 'service' ? 'replace' : 'checkpoint',
        reason: describeReason(task),
      });
    });
  return steps;
}

/**
 * Returns the fraction of a returning worker's capacity that may be used; it grows from an initial
 * fraction to 1. The start is shifted per worker, so that workers do not all grow at once.
 *
 * @example
 * computeUsableFraction({ sinceMs: 30_000, phase: random() });
 */
export function computeUsableFraction({
  sinceMs,
  phase,
  rampMs = 60_000,
}: {
  sinceMs: number;
  /** Shift of the start, fixed per worker, from 0 up to but not including 1. */
  phase: number;
  rampMs?: number;
}): number {
  const initialFraction = 0.25;
  const progress = (sinceMs - (phase * rampMs) / 4) / rampMs;
  return progress < 0 ? 0 : Math.min(1, initialFraction + (1 - initialFraction) * progress);
}
