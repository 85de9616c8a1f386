/**
 * Sends starts and stops to workers until their outcome is certain.
 *
 * A start without an answer may be carried out later. It is sent again as it is, which is idempotent
 * at the worker; before it is given up, the attempt is stopped there, which also rejects it when it
 * arrives late.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { isTerminalState, Rejection } from '../model/mod.ts';
import type { WorkerClient } from '../model/mod.ts';
import { RunPhase, getRunKey, getTaskName } from '../scheduler/mod.ts';
import type { CellState, Run, Worker } from '../scheduler/mod.ts';
import type { WorkerLink } from './worker_link.ts';

/** Sends orders. */
export interface OrderSender {
  start(run: Run): Promise<void>;
  stop(run: Run, reason: string): Promise<void>;
}

/** What the orders use and whom they tell. */
export interface OrderSenderOptions {
  state: CellState;
  workers: WorkerClient;
  clock: Clock;
  log: Logger;
  fencingToken: number;
  findLink(workerId: string): WorkerLink | undefined;
  hasEnded(): boolean;
  /** A start certainly was not and will not be carried out. */
  onRejected(run: Run, rejection: Rejection): void;
  onStarted(run: Run): void;
  onFenced(): void;
}

const startRetryDelayMs = 120;
const stopRetryDelayMs = 250;

/** Times from the decision to start a run, for its log line. */
export function computeOrderTimes(
  { orderedAtMs, storedAtMs, sentAtMs, sends }: Run,
  nowMs: number,
): { afterMs: number; storedAfterMs?: number; sentAfterMs?: number; sends: number } {
  const sinceOrdered = (atMs: number) => Math.round(atMs - orderedAtMs);
  return {
    afterMs: sinceOrdered(nowMs),
    ...(storedAtMs === undefined ? {} : { storedAfterMs: sinceOrdered(storedAtMs) }),
    ...(sentAtMs === undefined ? {} : { sentAfterMs: sinceOrdered(sentAtMs) }),
    sends,
  };
}

/** Whether the run still is one that takes room on its worker. */
function findHoldingWorker(state: CellState, run: Run): Worker | undefined {
  const worker = state.workers.get(run.workerId);
  return worker?.runs.get(getRunKey(run)) === run ? worker : undefined;
}

/**
 * Makes the sender of orders.
 *
 * @example
 * await orders.start(run);
 */
export function makeOrderSender(options: OrderSenderOptions): OrderSender {
  const { state, workers, clock, log, fencingToken, findLink, hasEnded, onRejected } = options;

  function logOrder(event: string, run: Run, fields: Record<string, unknown>): void {
    log.info(event, {
      event,
      id: run.step.job.accepted.id,
      task: getTaskName(run),
      attempt: run.attempt,
      worker: run.workerId,
      ...fields,
    });
  }

  /** Whether a run needs a ticket, and that has expired or was taken away with another run's. */
  function lacksValidTicket({ step: { advice }, workerId }: Run): boolean {
    const ticket = advice.tickets.get(workerId);
    return ticket ? ticket.validUntilMs <= clock.now() : advice.asked.has(workerId);
  }

  async function sendStart(run: Run, worker: Worker): Promise<Rejection | undefined> {
    const leaseUntilMs = findLink(run.workerId)?.leaseUntilMs();
    if (leaseUntilMs === undefined) return Rejection.Unknown;
    const { step, index, attempt } = run;
    const ticket = step.advice.tickets.get(run.workerId);
    const { checkpoint } = step.tasks[index]!;
    run.sentAtMs ??= clock.now();
    run.sends += 1;
    return workers.start(worker.entry, {
      task: getTaskName(run),
      attempt,
      payload: step.job.accepted.spec.payload,
      leaseUntilMs,
      fencingToken,
      ...(checkpoint === '' ? {} : { checkpoint }),
      ...(ticket ? { ticket: ticket.value } : {}),
    });
  }

  function sendStop(run: Run, worker: Worker): Promise<Rejection | undefined> {
    // Of a worker that had left the registry when this term began only the id is known.
    if (worker.entry.address === '') return Promise.resolve(Rejection.Unknown);
    return workers.stop(worker.entry, {
      task: getTaskName(run),
      attempt: run.attempt,
      fencingToken,
    });
  }

  async function stop(run: Run, reason: string): Promise<void> {
    if (run.phase === RunPhase.Stopping) return;
    run.phase = RunPhase.Stopping;
    logOrder('stop', run, { reason });
    for (
      let worker = findHoldingWorker(state, run);
      worker && !hasEnded();
      worker = findHoldingWorker(state, run)
    ) {
      const outcome = await sendStop(run, worker);
      if (outcome === Rejection.Fenced) {
        options.onFenced();
        return;
      }
      if (outcome === undefined) {
        // From now on the attempt cannot start there, and the next list tells whether it had.
        run.isStartUncertain = false;
        run.progressAtMs = clock.now();
        return;
      }
      await clock.sleep(stopRetryDelayMs);
    }
  }

  async function start(run: Run): Promise<void> {
    // A list may settle a run that was sent; it is still not one that was never sent.
    let wasSent = false;
    for (
      let worker = findHoldingWorker(state, run);
      worker && !hasEnded();
      worker = findHoldingWorker(state, run)
    ) {
      if (run.phase === RunPhase.Stopping) return;
      if (wasSent && !run.isStartUncertain) {
        // A list has shown it.
        options.onStarted(run);
        return;
      }
      if (isTerminalState(run.step.job.state) && !run.isStartUncertain) {
        onRejected(run, Rejection.Late);
        return;
      }
      const mayHaveRun = wasSent || run.isStartUncertain;
      if (!mayHaveRun && lacksValidTicket(run)) {
        // Storing the start took longer than the ticket is valid.
        logOrder('start-not-sent', run, { reason: Rejection.Ticket });
        onRejected(run, Rejection.Ticket);
        return;
      }
      run.isStartUncertain = true;
      wasSent = true;
      const outcome = await sendStart(run, worker);
      if (outcome === undefined) {
        run.isStartUncertain = false;
        run.progressAtMs = clock.now();
        if (run.phase === RunPhase.Ordered) run.phase = RunPhase.Running;
        options.onStarted(run);
        return;
      }
      if (outcome !== Rejection.Unknown) {
        logOrder('start-rejected', run, { reason: outcome, mayHaveRun });
        if (outcome === Rejection.Fenced) options.onFenced();
        else if (mayHaveRun) await stop(run, 'earlier order was not answered');
        else if (findHoldingWorker(state, run)) onRejected(run, outcome);
        return;
      }
      logOrder('start-unanswered', run, {});
      await clock.sleep(startRetryDelayMs);
    }
  }

  return { start, stop };
}
