/**
 * Sends start and stop orders to workers and retries them until their outcome is certain.
 *
 * A start order without a response may still be carried out later, also by the next incarnation of the
 * worker, which knows no earlier attempts. One with a ticket, which that incarnation rejects, is sent again
 * unchanged; this is idempotent at the worker. Any other is not repeated, so that at most one copy is under
 * way, and its task is not started elsewhere until the worker has listed the run or the copy is too old.
 *
 * If the scheduler gives the attempt up before its lease has expired, it stops it at the worker, which
 * from then on also rejects a start order that arrives late.
 */
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../logs/mod.ts';
import { isTerminalState, Rejection } from '../model/mod.ts';
import type { OrderResult, WorkerClient } from '../model/mod.ts';
import { RunPhase, getRunKey, getTaskName } from '../scheduler/mod.ts';
import type { CellState, Run, Worker } from '../scheduler/mod.ts';
import { StartObstacle } from './_start_conditions.ts';
import { makeStartOrderCounts } from './_start_report.ts';
import type { StartOrderCounts } from './_start_report.ts';
import { maxCallDelayMs } from './worker_link.ts';
import type { WorkerLink } from './worker_link.ts';

/** Sends start and stop orders to workers. */
export interface OrderSender {
  start(run: Run): Promise<void>;
  stop(run: Run, reason: string): Promise<void>;
  /** Returns the numbers of start orders since the last call and resets them. */
  takeReport(): StartOrderCounts;
}

/** Dependencies and callbacks of an {@link OrderSender}. */
export interface OrderSenderOptions {
  state: CellState;
  workers: WorkerClient;
  clock: Clock;
  log: Logger;
  findLink(workerId: string): WorkerLink | undefined;
  hasEnded(): boolean;
  /** Returns why the start order of a run must not be sent now; undefined if it may be. */
  findObstacle(run: Run, worker: Worker): StartObstacle | undefined;
  /** Called when a start certainly was not carried out and never will be. */
  onRejected(run: Run, rejection: Rejection): void;
  onStarted(run: Run): void;
  onFenced(): void;
}

/** What happens next to a start. */
const StartStep = {
  Send: 'send',
  Wait: 'wait',
  Settled: 'settled',
} as const;

type StartStep = (typeof StartStep)[keyof typeof StartStep];

const startRetryDelayMs = 120;
const stopRetryDelayMs = 250;

/** Returns the run's worker while the run is allocated there; undefined afterwards. */
function findHoldingWorker(state: CellState, run: Run): Worker | undefined {
  const worker = state.workers.get(run.workerId);
  return worker?.runs.get(getRunKey(run)) === run ? worker : undefined;
}

function hasResponse(outcome: Rejection | undefined): boolean {
  return outcome !== Rejection.Unknown && outcome !== Rejection.Unsent;
}

/** Whether an order has to be sent again, unless it may still be carried out late. */
function isInconclusive(outcome: Rejection | undefined): boolean {
  return !hasResponse(outcome) || outcome === Rejection.Unconfirmed;
}

/**
 * Makes an order sender.
 *
 * @example
 * await orderSender.start(run);
 */
export function makeOrderSender(options: OrderSenderOptions): OrderSender {
  const { state, workers, clock, log, findLink, hasEnded, onRejected } = options;
  let counts = makeStartOrderCounts();

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

  /** Whether a run needs a ticket that has expired or was removed when another run was rejected. */
  function lacksValidTicket({ step: { advice }, workerId }: Run): boolean {
    const ticket = advice.tickets.get(workerId);
    return ticket ? ticket.validUntilMs <= clock.now() : advice.asked.has(workerId);
  }

  /**
   * Sends an order with the fencing token of the current session. A response of another session or
   * incarnation confirms nothing: it is no longer known what the worker runs, and a rejection by the token
   * does not mean that there is another scheduler. The order is sent again.
   */
  async function sendInSession(
    workerId: string,
    send: (fencingToken: number) => Promise<OrderResult>,
  ): Promise<Rejection | undefined> {
    const session = findLink(workerId)?.openOrder();
    if (!session) return Rejection.Unsent;
    const { rejection, clockMs } = await send(session.fencingToken);
    const isConfirmed = findLink(workerId)?.confirmResponse(session, clockMs);
    return isConfirmed || !hasResponse(rejection) ? rejection : Rejection.Unconfirmed;
  }

  /** Returns the lease end for a start order that is sent now; undefined if none may be sent. */
  function findLeaseEnd({ workerId }: Run, { isSynced }: Worker): number | undefined {
    // Until the list of runs is complete, a report could not tell a run that starts from a lost one.
    return isSynced ? findLink(workerId)?.leaseUntilMs() : undefined;
  }

  async function sendStart(
    run: Run,
    worker: Worker,
    leaseUntilMs: number,
  ): Promise<Rejection | undefined> {
    const { step, index, attempt, hasTicket } = run;
    const ticket = step.advice.tickets.get(run.workerId);
    const { checkpoint } = step.tasks[index]!;
    run.sentAtMs ??= clock.now();
    run.sends += 1;
    counts.sent += 1;
    if (!hasTicket) run.lateStartUntilMs = clock.now() + maxCallDelayMs;
    const outcome = await sendInSession(run.workerId, (fencingToken) =>
      workers.start(worker.entry, {
        task: getTaskName(run),
        attempt,
        payload: step.job.accepted.spec.payload,
        leaseUntilMs,
        fencingToken,
        ...(checkpoint === '' ? {} : { checkpoint }),
        ...(ticket ? { ticket: ticket.value } : {}),
      }),
    );
    if (outcome !== Rejection.Unknown) run.lateStartUntilMs = -Infinity;
    return outcome;
  }

  function sendStop(run: Run, worker: Worker): Promise<Rejection | undefined> {
    // For a worker that had left the registry before this term began, only the id is known.
    if (worker.entry.address === '') return Promise.resolve(Rejection.Unsent);
    return sendInSession(run.workerId, (fencingToken) =>
      workers.stop(worker.entry, {
        task: getTaskName(run),
        attempt: run.attempt,
        fencingToken,
      }),
    );
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
        // The attempt can no longer start there; the worker's next report shows whether it had.
        run.isStartUncertain = false;
        run.progressAtMs = clock.now();
        return;
      }
      await clock.sleep(stopRetryDelayMs);
    }
  }

  /** Gives up a start whose conditions have changed since its decision. */
  async function withdrawStart(run: Run, reason: StartObstacle, mayHaveRun: boolean) {
    counts.notSent += 1;
    logOrder('start-not-sent', run, { reason, mayHaveRun });
    if (mayHaveRun) await stop(run, `the conditions of the start have changed: ${reason}`);
    else onRejected(run, Rejection.Late);
  }

  /** Gives up a start whose order got no response, and which the worker has not listed for as long as it may start. */
  async function giveUpStart(run: Run): Promise<void> {
    counts.givenUp += 1;
    await stop(run, 'the start order was not carried out in time');
  }

  /** Checks whether the order of a run is sent now, and settles the start where it never will be again. */
  async function prepareStart(run: Run, worker: Worker, hasAttempted: boolean): Promise<StartStep> {
    if (run.phase === RunPhase.Stopping) return StartStep.Settled;
    if (hasAttempted && !run.isStartUncertain) {
      // A report of the worker has listed the run.
      options.onStarted(run);
      return StartStep.Settled;
    }
    if (isTerminalState(run.step.job.state) && !run.isStartUncertain) {
      onRejected(run, Rejection.Late);
      return StartStep.Settled;
    }
    const mayHaveRun = hasAttempted || run.isStartUncertain;
    if (!mayHaveRun && lacksValidTicket(run)) {
      // The ticket expired while the start was being stored.
      counts.notSent += 1;
      logOrder('start-not-sent', run, { reason: Rejection.Ticket });
      onRejected(run, Rejection.Ticket);
      return StartStep.Settled;
    }
    const obstacle = options.findObstacle(run, worker);
    if (obstacle === StartObstacle.Stale) return StartStep.Wait;
    if (obstacle !== undefined) {
      await withdrawStart(run, obstacle, mayHaveRun);
      return StartStep.Settled;
    }
    if (run.lateStartUntilMs === -Infinity) return StartStep.Send;
    if (run.lateStartUntilMs > clock.now()) return StartStep.Wait;
    await giveUpStart(run);
    return StartStep.Settled;
  }

  function recordStart(run: Run): void {
    run.isStartUncertain = false;
    run.progressAtMs = clock.now();
    if (run.phase === RunPhase.Ordered) run.phase = RunPhase.Running;
    options.onStarted(run);
  }

  async function handleRejection(run: Run, rejection: Rejection, mayHaveRun: boolean) {
    counts.rejected += 1;
    logOrder('start-rejected', run, { reason: rejection, mayHaveRun });
    if (rejection === Rejection.Fenced) options.onFenced();
    else if (mayHaveRun) await stop(run, 'an earlier start order got no response');
    else if (findHoldingWorker(state, run)) onRejected(run, rejection);
  }

  async function start(run: Run): Promise<void> {
    // A report may clear `isStartUncertain`, but an order that may have been sent may still have run.
    let hasAttempted = false;
    for (
      let worker = findHoldingWorker(state, run);
      worker && !hasEnded();
      worker = findHoldingWorker(state, run)
    ) {
      const step = await prepareStart(run, worker, hasAttempted);
      if (step === StartStep.Settled) return;
      const leaseUntilMs = step === StartStep.Send ? findLeaseEnd(run, worker) : undefined;
      if (leaseUntilMs === undefined) {
        await clock.sleep(startRetryDelayMs);
        continue;
      }
      const mayHaveRun: boolean = hasAttempted || run.isStartUncertain;
      run.isStartUncertain = true;
      const outcome = await sendStart(run, worker, leaseUntilMs);
      if (outcome === undefined) {
        recordStart(run);
        return;
      }
      if (!isInconclusive(outcome)) {
        await handleRejection(run, outcome, mayHaveRun);
        return;
      }
      hasAttempted = mayHaveRun || outcome !== Rejection.Unsent;
      if (!hasAttempted) run.isStartUncertain = false;
      counts.unanswered += 1;
      logOrder('start-unanswered', run, { reason: outcome, hasTicket: run.hasTicket });
      await clock.sleep(startRetryDelayMs);
    }
  }

  return {
    start,
    stop,
    takeReport() {
      const finished = counts;
      counts = makeStartOrderCounts();
      return finished;
    },
  };
}
