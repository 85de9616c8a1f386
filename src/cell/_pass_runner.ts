/**
 * Runs scheduling passes: decides which tasks to start, stores the decisions, sends the start orders
 * and requests tickets.
 */
import { logFailure } from '../logs/mod.ts';
import type { GrantedTickets } from '../model/mod.ts';
import {
  applyAdvice,
  computeTicketEnd,
  computeWaitTimes,
  decideStarts,
  getStepName,
} from '../scheduler/mod.ts';
import type { PendingAdviceRequest, HoldReason, Job, Run } from '../scheduler/mod.ts';
import type { OrderSender } from './_orders.ts';
import type { AdviceSlot } from './advice_pool.ts';
import { acceptedRow, progressRow } from './rows.ts';
import { maxOperatorStateAgeMs } from './_start_conditions.ts';
import type { Term } from './_term_state.ts';

/** Runs scheduling passes. */
export interface PassRunner {
  /** Schedules a pass after a short delay, so that further changes share it. */
  schedule(): void;
  close(): void;
  /** Returns the totals of the passes since the last call and resets them. */
  takeReport(): PassReport;
}

/** Totals of several passes, for the log. */
export interface PassReport {
  passes: number;
  passMs: number;
  starts: number;
  adviceRequests: number;
  /** Number of steps that the last pass held back, by reason. */
  held: Record<HoldReason, number> | undefined;
}

function makePassReport(): PassReport {
  return { passes: 0, passMs: 0, starts: 0, adviceRequests: 0, held: undefined };
}

function groupByJob(runs: Run[]): Map<Job, Run[]> {
  const groups = new Map<Job, Run[]>();
  runs.forEach((run) => {
    const { job } = run.step;
    const group = groups.get(job);
    if (group) group.push(run);
    else groups.set(job, [run]);
  });
  return groups;
}

const passDelayMs = 3;
/** Starts wait while the store rejects a row of their job. */
const heldRowCheckMs = 1_000;
/** Largest share of the process's time that is spent on passes. */
const maxPassTimeShare = 0.5;
const orderMarginMs = 40;

/**
 * Makes the pass runner of a term.
 *
 * @example
 * passRunner.schedule();
 */
export function makePassRunner(term: Term, orderSender: OrderSender): PassRunner {
  const { state, clock, log, writer, advicePool } = term;
  let passTimer: NodeJS.Timeout | undefined;
  let earliestPassAtMs = 0;
  let report = makePassReport();

  function applyTickets(
    request: PendingAdviceRequest<AdviceSlot>,
    granted: GrantedTickets | undefined,
    requestedAtMs: number,
  ): void {
    const nowMs = clock.now();
    const { step, terms, slot } = request;
    const validityMs = granted?.validityMs || terms.advice!.validityMs;
    const { expectedMs } = slot;
    const validUntilMs = computeTicketEnd({ requestedAtMs, expectedMs, nowMs, validityMs });
    applyAdvice(state, request, granted?.tickets, { validUntilMs, nowMs });
    log.info('advice', {
      event: 'advice',
      id: step.job.accepted.id,
      step: getStepName(step),
      asked: request.workers.length,
      host: slot.host,
      tookMs: Math.round(nowMs - requestedAtMs),
      ...(granted ? { allowed: granted.tickets.length } : { failed: true }),
    });
  }

  async function requestTickets(request: PendingAdviceRequest<AdviceSlot>): Promise<void> {
    const requestedAtMs = clock.now();
    const granted = await advicePool
      .requestTickets(request.slot, {
        step: getStepName(request.step),
        workers: request.workers.map(({ entry }) => entry.id),
      })
      .catch((error: unknown) => {
        logFailure(log, 'an advice request')(error);
        return undefined;
      });
    applyTickets(request, granted, requestedAtMs);
    schedule();
  }

  /** Logs how long each reason has held back a job that has not started. */
  function logWait(event: string, job: Job, fields: Record<string, unknown>): void {
    if (!job.wait) return;
    const nowMs = clock.now();
    const { id, queue } = job.accepted;
    log.info('wait times of a job', {
      event,
      id,
      queue,
      waitedMs: Math.round(nowMs - job.acceptedAtMs),
      held: computeWaitTimes(job.wait, nowMs),
      ...fields,
    });
  }

  function endWait(job: Job, starts: Run[]): void {
    logWait('job-begun', job, { starts: starts.length });
    job.wait = undefined;
  }

  /** Sends the start orders of a job once they are stored, without waiting for later changes. */
  async function sendStarts(job: Job, starts: Run[]): Promise<void> {
    term.markJobDirty(job);
    const rows = [acceptedRow(job.accepted.id), progressRow(job.accepted.id)];
    while (!(await writer.flush({ rows }))) {
      if (term.endSignal.aborted) return;
      await clock.sleep(heldRowCheckMs, term.endSignal);
    }
    const storedAtMs = clock.now();
    starts.forEach((run) => {
      run.storedAtMs = storedAtMs;
      orderSender.start(run).catch(logFailure(log, 'a start order'));
    });
  }

  function runPass(): void {
    if (term.endSignal.aborted) return;
    const nowMs = clock.now();
    const operatorState = term.operatorState();
    if (!operatorState || nowMs - operatorState.currentAtMs > maxOperatorStateAgeMs) return;
    const { starts, adviceRequests, held, tooLate, failures } = decideStarts(state, {
      nowMs,
      wallMs: clock.wallTime(),
      configuration: operatorState.configuration,
      evacuated: operatorState.evacuated,
      orderDelayMs: orderMarginMs + 2 * writer.latencyMs(),
      acquireAdviceSlot: advicePool.acquire,
    });
    failures.forEach(({ job, error }) =>
      log.error('a job is set aside since no decision about it could be made', {
        event: 'job-set-aside',
        id: job.accepted.id,
        reason: String(error),
        stack: (error as Error).stack,
      }),
    );
    report.passes += 1;
    report.starts += starts.length;
    report.adviceRequests += adviceRequests.length;
    report.held = held;
    adviceRequests.forEach((request) => {
      requestTickets(request).catch(logFailure(log, 'an advice request'));
    });
    tooLate.forEach((job) => logWait('job-too-late', job, {}));
    groupByJob(starts).forEach((runs, job) => {
      endWait(job, runs);
      sendStarts(job, runs).catch(logFailure(log, 'sending start orders'));
    });
  }

  function schedule(): void {
    if (passTimer !== undefined || term.endSignal.aborted) return;
    passTimer = setTimeout(
      () => {
        passTimer = undefined;
        const startedAtMs = clock.now();
        try {
          runPass();
        } catch (error) {
          logFailure(log, 'a scheduling pass')(error);
        }
        const endedAtMs = clock.now();
        report.passMs += endedAtMs - startedAtMs;
        earliestPassAtMs = endedAtMs + (endedAtMs - startedAtMs) * (1 / maxPassTimeShare - 1);
      },
      Math.max(passDelayMs, earliestPassAtMs - clock.now()),
    );
  }

  return {
    schedule,
    close: () => clearTimeout(passTimer),
    takeReport() {
      const finished = report;
      report = makePassReport();
      return { ...finished, passMs: Math.round(finished.passMs) };
    },
  };
}
