/**
 * Accounting of resources: what runs and reservations hold on workers, and what the runs of each
 * organisation use.
 */
import { addResources, multiplyResources, noResources, subtractResources } from '../model/mod.ts';
import type { Resources } from '../model/mod.ts';
import { getAllocation } from './servable.ts';
import { getRunKey } from './state.ts';
import type { CellState, Reservation, Run, Step, Worker } from './state.ts';

/** Returns what a task of the step allocates on its worker. */
export function getTaskAllocation({ spec }: Step): Resources {
  return getAllocation(spec);
}

/** Recomputes the free capacity of a worker after a change of its capacity or of what is held. */
export function updateFreeCapacity(worker: Worker): void {
  worker.free = subtractResources(
    subtractResources(worker.entry.capacity, worker.used),
    worker.reserved,
  );
}

function changeUsage(state: CellState, organisation: string, change: Resources): void {
  state.usage.set(organisation, addResources(state.usage.get(organisation) ?? noResources, change));
}

/** Allocates the resources of a run. */
export function allocateRun(state: CellState, worker: Worker, run: Run): void {
  worker.runs.set(getRunKey(run), run);
  worker.used = addResources(worker.used, getTaskAllocation(run.step));
  updateFreeCapacity(worker);
  changeUsage(state, run.step.job.accepted.organisation, run.step.spec.need);
}

/** Releases the resources of a run. */
export function releaseRun(state: CellState, run: Run): void {
  const worker = state.workers.get(run.workerId);
  if (!worker?.runs.delete(getRunKey(run))) return;
  worker.used = subtractResources(worker.used, getTaskAllocation(run.step));
  updateFreeCapacity(worker);
  changeUsage(state, run.step.job.accepted.organisation, multiplyResources(run.step.spec.need, -1));
}

/** A pass that uses the tickets follows their arrival sooner than this. */
const maxUnusedReservationMs = 250;

function changeReserved(step: Step, reservation: Reservation, sign: 1 | -1): void {
  reservation.workers.forEach((count, worker) => {
    worker.reserved = addResources(
      worker.reserved,
      multiplyResources(getTaskAllocation(step), sign * count),
    );
    updateFreeCapacity(worker);
  });
}

/** Reserves capacity for a step. */
export function addReservation(state: CellState, step: Step, reservation: Reservation): void {
  step.reservation = reservation;
  state.reservedSteps.add(step);
  changeReserved(step, reservation, 1);
}

/** Releases the capacity reserved for a step. */
export function releaseReservation(state: CellState, step: Step): void {
  if (!step.reservation) return;
  changeReserved(step, step.reservation, -1);
  state.reservedSteps.delete(step);
  delete step.reservation;
}

/**
 * Releases reservations that no pass has used after their tickets arrived: a limit, a share or the
 * rank of the step keeps it from being placed.
 */
export function releaseUnusedReservations(state: CellState, nowMs: number): void {
  state.reservedSteps.forEach((step) => {
    const answeredAtMs = step.reservation?.answeredAtMs;
    if (answeredAtMs === undefined || nowMs - answeredAtMs < maxUnusedReservationMs) return;
    releaseReservation(state, step);
  });
}
