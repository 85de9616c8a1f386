/**
 * Accounts of room: what runs and plans take on workers and of organisations' limits.
 */
import { addResources, noResources, subtractResources, multiplyResources } from '../model/mod.ts';
import type { Resources } from '../model/mod.ts';
import { getRunKey } from './state.ts';
import type { CellState, Plan, Run, Step, Worker } from './state.ts';

/** What a task takes of its worker's room. */
export function needOf({ spec }: Step): Resources {
  return spec.fillsIdleCapacity ? { ...spec.need, cpu: 0 } : spec.need;
}

/** Computes the free room of a worker anew, after a change of what is taken or of its capacity. */
export function updateFreeCapacity(worker: Worker): void {
  worker.free = subtractResources(
    subtractResources(worker.entry.capacity, worker.used),
    worker.held,
  );
}

function changeUsage(state: CellState, organisation: string, change: Resources): void {
  state.usage.set(organisation, addResources(state.usage.get(organisation) ?? noResources, change));
}

/** Takes the room of a run. */
export function reserveRun(state: CellState, worker: Worker, run: Run): void {
  worker.runs.set(getRunKey(run), run);
  worker.used = addResources(worker.used, needOf(run.step));
  updateFreeCapacity(worker);
  changeUsage(state, run.step.job.accepted.organisation, run.step.spec.need);
}

/** Gives the room of a run back. */
export function releaseRun(state: CellState, run: Run): void {
  const worker = state.workers.get(run.workerId);
  if (!worker?.runs.delete(getRunKey(run))) return;
  worker.used = subtractResources(worker.used, needOf(run.step));
  updateFreeCapacity(worker);
  changeUsage(state, run.step.job.accepted.organisation, multiplyResources(run.step.spec.need, -1));
}

function changeHeld(state: CellState, step: Step, plan: Plan, sign: 1 | -1): void {
  plan.workers.forEach((count, id) => {
    const worker = state.workers.get(id);
    if (!worker) return;
    worker.held = addResources(worker.held, multiplyResources(needOf(step), sign * count));
    updateFreeCapacity(worker);
  });
}

/** Holds room for a step. */
export function holdPlan(state: CellState, step: Step, plan: Plan): void {
  step.plan = plan;
  changeHeld(state, step, plan, 1);
}

/** Gives back the room that a step holds. */
export function dropPlan(state: CellState, step: Step): void {
  if (!step.plan) return;
  changeHeld(state, step, step.plan, -1);
  delete step.plan;
}
