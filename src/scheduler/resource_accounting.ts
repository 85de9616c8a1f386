/**
 * Accounts of room: what runs and plans take on workers and of organisations' limits.
 */
import { addResources, noResources, subtractResources, multiplyResources } from '../model/mod.ts';
import type { Resources } from '../model/mod.ts';
import { getRunKey } from './state.ts';
import type { CellState, Reservation, Run, Step, Worker } from './state.ts';

/** What a task takes of its worker's room. */
export function getTaskAllocation({ spec }: Step): Resources {
  return spec.fillsIdleCapacity ? { ...spec.need, cpu: 0 } : spec.need;
}

/** Computes the free room of a worker anew, after a change of what is taken or of its capacity. */
export function updateFreeCapacity(worker: Worker): void {
  worker.free = subtractResources(
    subtractResources(worker.entry.capacity, worker.used),
    worker.reserved,
  );
}

function adjustUsage(state: CellState, organisation: string, change: Resources): void {
  state.usage.set(organisation, addResources(state.usage.get(organisation) ?? noResources, change));
}

/** Takes the room of a run. */
export function allocateRun(state: CellState, worker: Worker, run: Run): void {
  worker.runs.set(getRunKey(run), run);
  worker.used = addResources(worker.used, getTaskAllocation(run.step));
  updateFreeCapacity(worker);
  adjustUsage(state, run.step.job.accepted.organisation, run.step.spec.need);
}

/** Gives the room of a run back. */
export function releaseRun(state: CellState, run: Run): void {
  const worker = state.workers.get(run.workerId);
  if (!worker?.runs.delete(getRunKey(run))) return;
  worker.used = subtractResources(worker.used, getTaskAllocation(run.step));
  updateFreeCapacity(worker);
  adjustUsage(state, run.step.job.accepted.organisation, multiplyResources(run.step.spec.need, -1));
}

function adjustReserved(
  state: CellState,
  step: Step,
  reservation: Reservation,
  sign: 1 | -1,
): void {
  reservation.workers.forEach((count, id) => {
    const worker = state.workers.get(id);
    if (!worker) return;
    worker.reserved = addResources(
      worker.reserved,
      multiplyResources(getTaskAllocation(step), sign * count),
    );
    updateFreeCapacity(worker);
  });
}

/** Holds room for a step. */
export function makeReservation(state: CellState, step: Step, reservation: Reservation): void {
  step.reservation = reservation;
  adjustReserved(state, step, reservation, 1);
}

/** Gives back the room that a step holds. */
export function dropReservation(state: CellState, step: Step): void {
  if (!step.reservation) return;
  adjustReserved(state, step, step.reservation, -1);
  delete step.reservation;
}
