/**
 * An order sender with one run, for tests.
 */
import { makeOrderSender } from '../cell/_orders.ts';
import type { OrderSender } from '../cell/_orders.ts';
import type { StartObstacle } from '../cell/_start_conditions.ts';
import type { WorkerLink } from '../cell/worker_link.ts';
import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Rejection, WorkerClient } from '../model/mod.ts';
import { decideStarts } from '../scheduler/mod.ts';
import type { CellState, Run } from '../scheduler/mod.ts';
import { acceptedJob, cellWithWorkers, decisionInputs, stepSpec, submit } from './fake_cell.ts';

/** Makes a run on the only worker of a cell, and an order sender that uses the given client. */
export function makeOrders(
  workers: Partial<WorkerClient>,
  onRejected: (rejection: Rejection) => void = () => {},
  findObstacle: () => StartObstacle | undefined = () => undefined,
  {
    getToken = () => 1,
    onFenced = () => {},
  }: { getToken?: () => number; onFenced?: () => void } = {},
): { state: CellState; run: Run; orders: OrderSender } {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = decideStarts(state, decisionInputs()).starts;
  const orders = makeOrderSender({
    state,
    workers: workers as WorkerClient,
    clock: systemClock,
    log: silentLogger,
    findLink: () =>
      ({ leaseUntilMs: () => 1_000, fencingToken: getToken }) as Partial<WorkerLink> as WorkerLink,
    hasEnded: () => false,
    findObstacle,
    onRejected: (_run, rejection) => onRejected(rejection),
    onStarted: () => undefined,
    onFenced,
  });
  return { state, run: run!, orders };
}
