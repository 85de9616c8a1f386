/**
 * Tasks that outgrow their size: throttled, checkpointed or stopped before their host is over its
 * room. Usage reports lag, so the growth is projected to the time of the next report.
 */
import type { Size } from '../schema/mod.ts';
import { addScaled } from './_size.ts';

/** A task with its last two usage reports. */
export interface MeasuredTask {
  task: string;
  size: Size;
  usage: Size;
  previous?: Size;
  checkpoint: boolean;
  service: boolean;
}

/** What to do with a task. */
export interface OveruseAction {
  task: string;
  mode: 'throttle' | 'checkpoint' | 'stop';
  reason: string;
}

// Part of the room up to which projected use is let go.
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
 * Decides which tasks of a worker to curb. Only tasks beyond their own size are touched.
 *
 * @example
 * curbOutgrowth({ capacity, tasks }).forEach(({ task, mode }) => pool.stop(task, mode));
 */
export function curbOutgrowth({
  capacity,
  tasks,
  reportsAhead = 1,
}: {
  capacity: Size;
  tasks: MeasuredTask[];
  reportsAhead?: number;
}): OveruseAction[] {
  const projections = tasks.map((task) => ({ task, projected: projectUsage(task, reportsAhead) }));
  // A task that uses less than its size may still grow up to it, so the larger one counts.
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
        reason: `memory grows to ${Math.round(projected.memoryMb)} MB, ${Math.round(task.size.memoryMb)} MB were declared`,
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
        reason: `uses ${projected.processors.toFixed(1)} processors, ${task.size.processors} were declared`,
      });
    });
  return actions;
}
