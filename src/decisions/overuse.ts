/**
 * Throttles, checkpoints or stops tasks that use more than their size before their host runs out of
 * capacity. Usage reports lag, so growth is projected to the time of the next report.
 */
import type { Size } from '../schema/mod.ts';
import { addScaled } from './_size.ts';

/** A task with its size and last two usage reports. */
export interface MeasuredTask {
  task: string;
  size: Size;
  usage: Size;
  previous?: Size;
  checkpoint: boolean;
  service: boolean;
}

/** An action against a task that uses too much. */
export interface OveruseAction {
  task: string;
  mode: 'throttle' | 'checkpoint' | 'stop';
  reason: string;
}

// Fraction of the memory of a worker that projected usage may reach.
const maxMemoryFraction = 0.95;

function projectUsage({ usage, previous = usage }: MeasuredTask, reports: number): Size {
  return {
    processors: usage.processors + Math.max(0, usage.processors - previous.processors) * reports,
    memoryMb: usage.memoryMb + Math.max(0, usage.memoryMb - previous.memoryMb) * reports,
    accelerators: usage.accelerators,
    slots: usage.slots,
  };
}

/**
 * Selects actions against tasks of a worker whose usage exceeds their own size.
 *
 * @example
 * planOveruseActions({ capacity, tasks }).forEach(({ task, mode }) => pool.stop(task, mode));
 */
export function planOveruseActions({
  capacity,
  tasks,
  reportsAhead = 1,
}: {
  capacity: Size;
  tasks: MeasuredTask[];
  reportsAhead?: number;
}): OveruseAction[] {
  const projections = tasks.map((task) => ({ task, projected: projectUsage(task, reportsAhead) }));
  // A task may still grow to its size, so the larger of projected usage and size counts.
  const total = projections.reduce(
    (sum, { task, projected }) =>
      addScaled(sum, {
        ...projected,
        processors: Math.max(projected.processors, task.size.processors),
        memoryMb: Math.max(projected.memoryMb, task.size.memoryMb),
      }),
    { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 },
  );
  const actions: OveruseAction[] = [];
  let excessMemoryMb = total.memoryMb - capacity.memoryMb * maxMemoryFraction;
  [...projections]
    .sort(
      (left, right) =>
        Number(left.task.service) - Number(right.task.service) ||
        Number(right.task.checkpoint) - Number(left.task.checkpoint) ||
        right.projected.memoryMb -
          right.task.size.memoryMb -
          (left.projected.memoryMb - left.task.size.memoryMb),
    )
    .forEach(({ task, projected }) => {
      const overuse = projected.memoryMb - task.size.memoryMb;
      if (excessMemoryMb <= 0 || overuse <= 0) return;
      excessMemoryMb -= projected.memoryMb;
      actions.push({
        task: task.task,
        mode: task.checkpoint ? 'checkpoint' : 'stop',
        reason: `projected memory of ${Math.round(projected.memoryMb)} MB exceeds the declared ${Math.round(task.size.memoryMb)} MB`,
      });
    });
  let excessProcessors = total.processors - capacity.processors;
  [...projections]
    .sort(
      (left, right) =>
        right.projected.processors -
        right.task.size.processors -
        (left.projected.processors - left.task.size.processors),
    )
    .forEach(({ task, projected }) => {
      const overuse = projected.processors - task.size.processors;
      if (excessProcessors <= 0 || overuse <= 0) return;
      excessProcessors -= overuse;
      if (actions.some((action) => action.task === task.task)) return;
      actions.push({
        task: task.task,
        mode: 'throttle',
        reason: `projected use of ${projected.processors.toFixed(1)} processors exceeds the declared ${task.size.processors}`,
      });
    });
  return actions;
}
