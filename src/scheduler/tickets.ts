/**
 * Tickets: permissions to run a step on a worker, which the advice service gives for a short time.
 */
import { countFittingTasks } from './placement.ts';
import type { CellState, QueueTerms, Step, Worker } from './state.ts';

/** A call for tickets, and the place that was taken for it. */
export interface PendingAdviceRequest<Slot = unknown> {
  step: Step;
  workers: Worker[];
  /** Tasks that the tickets are for. */
  wantedTasks: number;
  terms: QueueTerms;
  slot: Slot;
}

/** The service takes at most so many workers in a call. */
const maxWorkersPerRequest = 100;
const adviceRetryMs = 400;
const initialAllowedFraction = 0.4;
const minAllowedFraction = 0.05;
const maxAllowedFraction = 0.95;
/** Weight of an answer in the learned share. */
const allowedFractionWeight = 0.1;
/** Bound on the probability that none of the workers in a call is allowed. */
const maxNoneAllowedProbability = 0.02;
/** Expected places are to be this many times those wantedTasks. */
const capacityMarginFactor = 1.5;

/** Whether the service was asked about the present incarnation of a worker. */
function wasAsked({ advice }: Step, { entry, incarnationStartMs }: Worker): boolean {
  return advice.asked.get(entry.id) === incarnationStartMs;
}

/** Whether the present incarnation of a worker is known to be allowed. */
export function isAllowed({ advice }: Step, { entry, incarnationStartMs }: Worker): boolean {
  return advice.allowed.get(entry.id) === incarnationStartMs;
}

/** Whether a step has a ticket for a worker that is valid until the time. */
export function hasTicket(step: Step, worker: Worker, untilMs: number): boolean {
  const ticket = step.advice.tickets.get(worker.entry.id);
  return (
    ticket !== undefined &&
    ticket.incarnationStartMs === worker.incarnationStartMs &&
    ticket.validUntilMs > untilMs
  );
}

function getUncommittedCpu({ free, expectedCpu }: Worker): number {
  return free.cpu - expectedCpu;
}

/** Orders workers so that those come first that have most room that no call for tickets counts on. */
export function sortByUncommittedCpu(workers: Worker[]): Worker[] {
  return [...workers].sort((a, b) => getUncommittedCpu(b) - getUncommittedCpu(a));
}

/** Adds what the tasks of a call, spread over the workers that it names, probably take there. */
function adjustExpectedCpu(
  { step, workers, wantedTasks }: PendingAdviceRequest,
  sign: 1 | -1,
): void {
  const each = (step.spec.need.cpu * wantedTasks) / workers.length;
  workers.forEach((worker) => {
    worker.expectedCpu += sign * each;
  });
}

/** Notes that a call for tickets is on its way. */
export function recordAdviceRequest(request: PendingAdviceRequest): void {
  const { step, workers } = request;
  workers.forEach(({ entry, incarnationStartMs }) =>
    step.advice.asked.set(entry.id, incarnationStartMs),
  );
  step.advice.isPending = true;
  adjustExpectedCpu(request, 1);
}

/** Share of the workers that may run a step of the queue, as far as it is known. */
export function getAllowedFraction({ allowedFractions }: CellState, queue: string): number {
  return allowedFractions.get(queue) ?? initialAllowedFraction;
}

/**
 * Workers to ask about that were not asked about yet, in the order given: so many that those allowed
 * probably have room for the wantedTasks tasks.
 *
 * Load answered: more steps than the service can answer calls for; each worker named prolongs a call.
 * Steps that wait at the same time are to ask about different workers, since tickets are of no use on
 * workers that others fill meanwhile.
 */
export function selectWorkersToAsk(
  step: Step,
  candidates: Worker[],
  { wantedTasks, allowedFraction }: { wantedTasks: number; allowedFraction: number },
): Worker[] {
  const share = Math.min(maxAllowedFraction, Math.max(minAllowedFraction, allowedFraction));
  const atLeast = Math.log(maxNoneAllowedProbability) / Math.log(1 - share);
  const chosen: Worker[] = [];
  let places = 0;
  for (const worker of candidates) {
    if (chosen.length >= atLeast && places * share >= wantedTasks * capacityMarginFactor) break;
    if (chosen.length === maxWorkersPerRequest) break;
    if (wasAsked(step, worker)) continue;
    chosen.push(worker);
    places += Math.min(wantedTasks, countFittingTasks(step, worker));
  }
  return chosen;
}

function updateAllowedFraction(state: CellState, queue: string, share: number): void {
  const known = getAllowedFraction(state, queue);
  state.allowedFractions.set(queue, known + (share - known) * allowedFractionWeight);
}

/**
 * Takes the answer to a call for tickets; without an answer the step is asked for again later.
 *
 * @example
 * applyAdvice(state, request, [['i-1', 'c81e']], { validUntilMs: now + 1_500, nowMs: now });
 */
export function applyAdvice(
  state: CellState,
  request: PendingAdviceRequest,
  tickets: [worker: string, ticket: string][] | undefined,
  { validUntilMs, nowMs }: { validUntilMs: number; nowMs: number },
): void {
  const { step, workers } = request;
  const { advice } = step;
  advice.isPending = false;
  step.job.skipUntilMs = -Infinity;
  adjustExpectedCpu(request, -1);
  if (!tickets) {
    workers.forEach((worker) => {
      if (!isAllowed(step, worker)) advice.asked.delete(worker.entry.id);
    });
    advice.notBeforeMs = nowMs + adviceRetryMs;
    return;
  }
  // Calls that renew tickets of allowed workers tell nothing of the share.
  if (!workers.some((worker) => isAllowed(step, worker)) && workers.length > 0) {
    updateAllowedFraction(state, step.job.accepted.queue, tickets.length / workers.length);
  }
  const byId = new Map(workers.map((worker) => [worker.entry.id, worker]));
  tickets.forEach(([id, value]) => {
    const worker = byId.get(id);
    if (!worker) return;
    advice.allowed.set(id, worker.incarnationStartMs);
    advice.tickets.set(id, { value, incarnationStartMs: worker.incarnationStartMs, validUntilMs });
  });
}
