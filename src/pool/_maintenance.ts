/**
 * Stops the newest tasks of teams whose lowered limit is exceeded, and calls again for ended tasks
 * that nobody has acknowledged.
 */
import { forgetOld, publish } from './_capacity.ts';
import { stop } from './_starts.ts';
import type { HeldTask, PoolState } from './_state.ts';

const watchEveryMs = 250;
const repeatEndedMs = 5_000;
// The bound is 4 s after the change: 2.5 s of freshness, this, and the time of the stop itself.
const checkpointMs = 1_000;

function newestFirst(left: HeldTask, right: HeldTask): number {
  return right.startedAt - left.startedAt || (left.task < right.task ? 1 : -1);
}

async function stopTask(state: PoolState, task: string): Promise<void> {
  await stop(state, { task, mode: 'checkpoint' });
  await state.parts.clock.sleep(checkpointMs, state.closed.signal);
  await stop(state, { task, mode: 'stop' });
}

/** Stops tasks beyond lowered limits; lookups run to their end. */
export function enforceLimits(state: PoolState): void {
  const { limits, log } = state.parts;
  const byTeam = new Map<string, HeldTask[]>();
  state.entries.forEach(({ tasks }) =>
    tasks.forEach((held) => {
      const list = byTeam.get(held.team);
      if (list) list.push(held);
      else byTeam.set(held.team, [held]);
    }),
  );
  byTeam.forEach((tasks, team) => {
    const stopping = tasks.filter((held) => held.state === 'stopping').length;
    const excess = limits.excess(team) - stopping;
    if (excess <= 0) return;
    const chosen = tasks
      .filter((held) => held.kind !== 'lookup' && held.state === 'running')
      .sort(newestFirst)
      .slice(0, excess);
    chosen.forEach((held) => {
      stopTask(state, held.task).catch((error: unknown) =>
        log.error('A stop failed.', { task: held.task, error: String(error) }),
      );
    });
  });
}

function repeatEnded(state: PoolState): void {
  const now = state.parts.clock.now();
  const due = [...state.ended.values()].filter(
    ({ notifiedAt }) => now - notifiedAt >= repeatEndedMs,
  );
  if (due.length === 0) return;
  due.forEach((entry) => Object.assign(entry, { notifiedAt: now }));
  const ended = due.map((entry) => entry.ended);
  state.endedObservers.forEach((observer) => observer(ended));
}

/** Runs until the pool is closed. */
export async function watchPool(state: PoolState): Promise<void> {
  const { clock } = state.parts;
  while (!state.closed.signal.aborted) {
    enforceLimits(state);
    repeatEnded(state);
    forgetOld(state);
    // Quarantine levels change with time.
    if (state.parts.penalty) state.entries.forEach((entry) => publish(state, entry));
    await clock.sleep(watchEveryMs, state.closed.signal);
  }
}
