/**
 * A data centre going out of service, and coming back.
 */

/** A task in the data centre that leaves. */
export interface EvacuationCandidate {
  task: string;
  kind: 'batch' | 'gang' | 'service';
  /** Processors that it holds. */
  processors: number;
  startedAt: number;
  /** Run time left, as far as known. */
  remainingMs: number;
  checkpoint: boolean;
  deadlineAt?: number;
}

/** A task to move now. */
export interface EvacuationStep {
  task: string;
  /** `replace`: start elsewhere before the stop; `checkpoint`: stop with a checkpoint. */
  mode: 'replace' | 'checkpoint';
  reason: string;
}

// Slack below which a task with a deadline goes before all batch work without one.
const urgentSlackMs = 600_000;

/**
 * Picks the tasks to move in the next interval, in order of worth: services first, then work whose
 * deadline is near, then what has most finished work to lose. Work without a checkpoint is left to
 * run, since moving it would only lose what it has done. No more is moved than the rate allows and
 * than the other data centres have room for.
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
  /** Room of the other data centres that moved work may take. */
  freeProcessors: number;
  /** When the hosts stop, if known. */
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
    // What ends before the hosts stop is not worth a move.
    .filter(
      (task) => task.kind === 'service' || now + task.remainingMs > outAt || outAt === Infinity,
    )
    .sort((left, right) => {
      const [a, b] = [computePriority(left), computePriority(right)];
      return a === b ? 0 : b - a;
    })
    .forEach((task) => {
      // Before the hosts stop, a task keeps running until there is room for it elsewhere.
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
 * Part of a returning worker's room that may be used, growing from a first part to all of it. The
 * start differs per worker, so that not all workers take their next step at once.
 *
 * @example
 * returningPart({ sinceMs: 30_000, phase: random() });
 */
export function returningPart({
  sinceMs,
  phase,
  rampMs = 60_000,
}: {
  sinceMs: number;
  /** From 0 up to, but not including, 1; fixed per worker. */
  phase: number;
  rampMs?: number;
}): number {
  const initialFraction = 0.25;
  const progress = (sinceMs - (phase * rampMs) / 4) / rampMs;
  return progress < 0 ? 0 : Math.min(1, initialFraction + (1 - initialFraction) * progress);
}
