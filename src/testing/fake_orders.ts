/**
 * An order sender with one run, for tests.
 */
import { makeOrderSender } from '../cell/_orders.ts';
import type { OrderSender } from '../cell/_orders.ts';
import type { StartObstacle } from '../cell/_start_conditions.ts';
import type { WorkerLink } from '../cell/worker_link.ts';
import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import type { Rejection, WorkerClient } from '../model/mod.ts';
import { decideStarts } from '../scheduler/mod.ts';
import type { CellState, Run } from '../scheduler/mod.ts';
import { acceptedJob, cellWithWorkers, decisionInputs, stepSpec, submit } from './fake_cell.ts';

/** The worker's side of a test: each order resolves with its rejection, or undefined if it is carried out. */
export type OrderOutcomes = {
  [Order in 'start' | 'stop']?: (
    ...order: Parameters<WorkerClient[Order]>
  ) => Promise<Rejection | undefined>;
};

function makeWorkers({ start, stop }: OrderOutcomes): Pick<WorkerClient, 'start' | 'stop'> {
  const toResult = (rejection: Rejection | undefined) => (rejection ? { rejection } : {});
  return {
    start: async (...order) => toResult(await start?.(...order)),
    stop: async (...order) => toResult(await stop?.(...order)),
  };
}

/** Makes a run on the only worker of a cell, and an order sender whose orders have the given outcomes. */
export function makeOrders(
  outcomes: OrderOutcomes,
  onRejected: (rejection: Rejection) => void = () => {},
  findObstacle: () => StartObstacle | undefined = () => undefined,
  {
    getToken = () => 1,
    onFenced = () => {},
    hasTicket = false,
    clock = systemClock,
  }: { getToken?: () => number; onFenced?: () => void; hasTicket?: boolean; clock?: Clock } = {},
): { state: CellState; run: Run; orders: OrderSender } {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = decideStarts(state, decisionInputs()).starts;
  run!.hasTicket = hasTicket;
  const link: Pick<WorkerLink, 'leaseUntilMs' | 'openOrder' | 'confirmResponse'> = {
    leaseUntilMs: () => 1_000,
    openOrder: () => ({ fencingToken: getToken(), earliestClockMs: undefined }),
    confirmResponse: ({ fencingToken }) => fencingToken === getToken(),
  };
  const orders = makeOrderSender({
    state,
    workers: makeWorkers(outcomes) as WorkerClient,
    clock,
    log: silentLogger,
    findLink: () => link as Partial<WorkerLink> as WorkerLink,
    hasEnded: () => false,
    findObstacle,
    onRejected: (_run, rejection) => onRejected(rejection),
    onStarted: () => undefined,
    onFenced,
  });
  return { state, run: run!, orders };
}
