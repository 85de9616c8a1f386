/**
 * Tasks that outgrow their size: throttled, checkpointed or stopped before their host is over its
 * room. Usage reports lag, so the growth is projected to the time of the next report.
 */
import type { Size } from '../schema/mod.ts';
import { plus } from './_size.ts';

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
export interface Curb {
  task: string;
  mode: 'throttle' | 'checkpoint' | 'stop';
  reason: string;
}

// Part of the room up to which projected use is let go.
const safePart = 0.95;

function projected({ usage, previous = usage }: MeasuredTask, reports: number): Size {
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
}): Curb[] {
  const expected = tasks.map((task) => ({ task, use: projected(task, reportsAhead) }));
  // A task that uses less than its size may still grow up to it, so the larger one counts.
  const total = expected.reduce(
    (sum, { task, use }) =>
      plus(sum, {
        ...use,
        processors: Math.max(use.processors, task.size.processors),
        memoryMb: Math.max(use.memoryMb, task.size.memoryMb),
      }),
    { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 },
  );
  const curbs: Curb[] = [];
  let overMemory = total.memoryMb - capacity.memoryMb * safePart;
  [...expected]
    .sort(
      (left, right) =>
        Number(left.task.service) - Number(right.task.service) ||
        Number(right.task.checkpoint) - Number(left.task.checkpoint) ||
        right.use.memoryMb -
          right.task.size.memoryMb -
          (left.use.memoryMb - left.task.size.memoryMb),
    )
    .forEach(({ task, use }) => {
      const beyond = use.memoryMb - task.size.memoryMb;
      if (overMemory <= 0 || beyond <= 0) return;
      overMemory -= use.memoryMb;
      curbs.push({
        task: task.task,
        mode: task.checkpoint ? 'checkpoint' : 'stop',
        reason: `memory grows to ${Math.round(use.memoryMb)} MB, ${Math.round(task.size.memoryMb)} MB were declared`,
      });
    });
  let overProcessors = total.processors - capacity.processors;
  [...expected]
    .sort(
      (left, right) =>
        right.use.processors -
        right.task.size.processors -
        (left.use.processors - left.task.size.processors),
    )
    .forEach(({ task, use }) => {
      const beyond = use.processors - task.size.processors;
      if (overProcessors <= 0 || beyond <= 0) return;
      overProcessors -= beyond;
      if (curbs.some((curb) => curb.task === task.task)) return;
      curbs.push({
        task: task.task,
        mode: 'throttle',
        reason: `uses ${use.processors.toFixed(1)} processors, ${task.size.processors} were declared`,
      });
    });
  return curbs;
}
