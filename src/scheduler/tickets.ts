/**
 * Tickets: short-lived permissions to run a step on a worker, granted by the advice service.
 */
import { countFittingTasks } from './placement.ts';
import type { CellState, QueueTerms, Step, Worker } from './state.ts';

/** An advice request with the workers that it names and the slot acquired for it. */
export interface PendingAdviceRequest<Slot = unknown> {
  step: Step;
  workers: Worker[];
  /** Number of tasks that need tickets. */
  wantedTasks: number;
  terms: QueueTerms;
  slot: Slot;
}

/** The service accepts at most this many workers in a request. */
const maxWorkersPerRequest = 100;
const adviceRetryMs = 400;
const initialAllowedFraction = 0.4;
const minAllowedFraction = 0.05;
const maxAllowedFraction = 0.95;
/** Weight of one response in the learned fraction. */
const allowedFractionWeight = 0.1;
/** Bound on the probability that none of the workers in a request is allowed. */
const maxNoneAllowedProbability = 0.02;
/** The expected number of tasks that fit must be this many times the wanted tasks. */
const marginFactor = 1.5;

/** Whether the service was asked about the current incarnation of a worker. */
function wasAsked({ advice }: Step, { entry, incarnationStartMs }: Worker): boolean {
  return advice.asked.get(entry.id) === incarnationStartMs;
}

/** Whether the current incarnation of a worker is known to be allowed. */
export function isAllowed({ advice }: Step, { entry, incarnationStartMs }: Worker): boolean {
  return advice.allowed.get(entry.id) === incarnationStartMs;
}

/** Whether a step has a ticket for a worker that is valid beyond the given time. */
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

/** Sorts workers by the free CPU that no pending advice request counts on, most first. */
export function sortByUncommittedCpu(workers: Worker[]): Worker[] {
  return [...workers].sort((a, b) => getUncommittedCpu(b) - getUncommittedCpu(a));
}

/** Adds or removes the CPU that the tasks of a request are expected to use, spread over its workers. */
function adjustExpectedCpu(
  { step, workers, wantedTasks }: PendingAdviceRequest,
  sign: 1 | -1,
): void {
  const cpuPerWorker = (step.spec.need.cpu * wantedTasks) / workers.length;
  workers.forEach((worker) => {
    worker.expectedCpu += sign * cpuPerWorker;
  });
}

/** Records that an advice request is in flight. */
export function recordAdviceRequest(request: PendingAdviceRequest): void {
  const { step, workers } = request;
  workers.forEach(({ entry, incarnationStartMs }) =>
    step.advice.asked.set(entry.id, incarnationStartMs),
  );
  step.advice.isPending = true;
  adjustExpectedCpu(request, 1);
}

/** Returns the estimated fraction of the workers that may run a step of the queue. */
export function getAllowedFraction({ allowedFractions }: CellState, queue: string): number {
  return allowedFractions.get(queue) ?? initialAllowedFraction;
}

/**
 * Selects workers that the service was not asked about yet, in the given order, until the allowed ones
 * probably have capacity for the wanted tasks.
 *
 * Under overload there are more steps than the service can handle requests for, and each named worker
 * prolongs a request. Steps that wait at the same time should ask about different workers, since
 * tickets are useless on workers that other steps fill meanwhile.
 */
export function selectWorkersToAsk(
  step: Step,
  candidates: Worker[],
  { wantedTasks, allowedFraction }: { wantedTasks: number; allowedFraction: number },
): Worker[] {
  const fraction = Math.min(maxAllowedFraction, Math.max(minAllowedFraction, allowedFraction));
  const minWorkers = Math.log(maxNoneAllowedProbability) / Math.log(1 - fraction);
  const chosen: Worker[] = [];
  let fittingTasks = 0;
  for (const worker of candidates) {
    if (chosen.length >= minWorkers && fittingTasks * fraction >= wantedTasks * marginFactor) break;
    if (chosen.length === maxWorkersPerRequest) break;
    if (wasAsked(step, worker)) continue;
    chosen.push(worker);
    fittingTasks += Math.min(wantedTasks, countFittingTasks(step, worker));
  }
  return chosen;
}

/**
 * Computes until when the tickets of a response are certainly valid. Their time runs from the grant, which
 * the service does not make before the expected duration of the request has passed; the response may
 * be handled much later.
 *
 * @example
 * computeTicketEnd({ requestedAtMs: 0, expectedMs: 20, nowMs: 900, validityMs: 2_000 }); // 2_020
 */
export function computeTicketEnd({
  requestedAtMs,
  expectedMs,
  nowMs,
  validityMs,
}: {
  requestedAtMs: number;
  expectedMs: number;
  /** Time at which the response is handled. */
  nowMs: number;
  validityMs: number;
}): number {
  return Math.min(nowMs, requestedAtMs + expectedMs) + validityMs;
}

function updateAllowedFraction(state: CellState, queue: string, fraction: number): void {
  const previous = getAllowedFraction(state, queue);
  state.allowedFractions.set(queue, previous + (fraction - previous) * allowedFractionWeight);
}

/**
 * Applies the response to an advice request; without a response the request is repeated later.
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
  if (step.reservation) step.reservation.answeredAtMs = nowMs;
  step.job.skipUntilMs = -Infinity;
  adjustExpectedCpu(request, -1);
  if (!tickets) {
    workers.forEach((worker) => {
      if (!isAllowed(step, worker)) advice.asked.delete(worker.entry.id);
    });
    advice.notBeforeMs = nowMs + adviceRetryMs;
    return;
  }
  // Requests that renew the tickets of allowed workers say nothing about the fraction.
  if (!workers.some((worker) => isAllowed(step, worker)) && workers.length > 0) {
    updateAllowedFraction(state, step.job.accepted.queue, tickets.length / workers.length);
  }
  const workersById = new Map(workers.map((worker) => [worker.entry.id, worker]));
  tickets.forEach(([id, value]) => {
    const worker = workersById.get(id);
    if (!worker) return;
    advice.allowed.set(id, worker.incarnationStartMs);
    advice.tickets.set(id, { value, incarnationStartMs: worker.incarnationStartMs, validUntilMs });
  });
}
