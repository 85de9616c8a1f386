/**
 * Periodic maintenance of the pool: stops the newest tasks of teams that exceed a lowered limit, and
 * notifies the observers again of unacknowledged ended tasks.
 */
import { removeOldAttempts, updatePlacement } from './_capacity.ts';
import { stopTask } from './_starts.ts';
import type { PoolState, TrackedTask } from './_state.ts';

const maintenanceIntervalMs = 250;
const notifyAgainAfterMs = 5_000;
// Tasks must stop within 4 s of a change: 2.5 s of freshness, this grace, and the stop itself.
const checkpointGraceMs = 1_000;

function compareNewestFirst(left: TrackedTask, right: TrackedTask): number {
  return right.startedAt - left.startedAt || (left.task < right.task ? 1 : -1);
}

async function checkpointAndStop(state: PoolState, task: string): Promise<void> {
  await stopTask(state, { task, mode: 'checkpoint' });
  await state.options.clock.sleep(checkpointGraceMs, state.closed.signal);
  await stopTask(state, { task, mode: 'stop' });
}

/** Stops tasks that exceed a lowered limit. Lookups run to completion. */
export function enforceLimits(state: PoolState): void {
  const { limits, log } = state.options;
  const tasksByTeam = new Map<string, TrackedTask[]>();
  state.records.forEach(({ tasks }) =>
    tasks.forEach((tracked) => {
      const teamTasks = tasksByTeam.get(tracked.team);
      if (teamTasks) teamTasks.push(tracked);
      else tasksByTeam.set(tracked.team, [tracked]);
    }),
  );
  tasksByTeam.forEach((tasks, team) => {
    const stoppingCount = tasks.filter((tracked) => tracked.state === 'stopping').length;
    const excess = limits.excess(team) - stoppingCount;
    if (excess <= 0) return;
    const tasksToStop = tasks
      .filter((tracked) => tracked.kind !== 'lookup' && tracked.state === 'running')
      .sort(compareNewestFirst)
      .slice(0, excess);
    tasksToStop.forEach((tracked) => {
      checkpointAndStop(state, tracked.task).catch((error: unknown) =>
        log.error('Stopping a task failed.', { task: tracked.task, error: String(error) }),
      );
    });
  });
}

function notifyUnacknowledged(state: PoolState): void {
  const now = state.options.clock.now();
  const due = [...state.ended.values()].filter(
    ({ notifiedAt }) => now - notifiedAt >= notifyAgainAfterMs,
  );
  if (due.length === 0) return;
  due.forEach((unacknowledged) => Object.assign(unacknowledged, { notifiedAt: now }));
  const ended = due.map((unacknowledged) => unacknowledged.ended);
  state.endedObservers.forEach((observer) => observer(ended));
}

/** Runs the maintenance until the pool is closed. */
export async function maintainPool(state: PoolState): Promise<void> {
  const { clock } = state.options;
  while (!state.closed.signal.aborted) {
    enforceLimits(state);
    notifyUnacknowledged(state);
    removeOldAttempts(state);
    // Quarantine levels change over time.
    if (state.options.penalty) state.records.forEach((record) => updatePlacement(state, record));
    await clock.sleep(maintenanceIntervalMs, state.closed.signal);
  }
}
