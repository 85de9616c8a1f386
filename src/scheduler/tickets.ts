/**
 * Tickets: permissions to run a step on a worker, which the advice service gives for a short time.
 */
import { placesOn } from './placement.ts';
import type { CellState, QueueTerms, Step, Worker } from './state.ts';

/** A call for tickets, and the place that was taken for it. */
export interface PendingAdviceRequest<Slot = unknown> {
  step: Step;
  workers: Worker[];
  /** Tasks that the tickets are for. */
  wanted: number;
  terms: QueueTerms;
  slot: Slot;
}

/** The service takes at most so many workers in a call. */
const maxWorkersPerAdvice = 100;
const repeatAdviceMs = 400;
const initialAllowedShare = 0.4;
const minAllowedShare = 0.05;
const maxAllowedShare = 0.95;
/** Weight of an answer in the learned share. */
const allowedShareWeight = 0.1;
/** Bound on the probability that none of the workers in a call is allowed. */
const noneAllowedProbability = 0.02;
/** Expected places are to be this many times those wanted. */
const placesMargin = 1.5;

/** Whether the service was asked about the present incarnation of a worker. */
function wasAsked({ advice }: Step, { entry, incarnationStartMs: bornMs }: Worker): boolean {
  return advice.asked.get(entry.id) === bornMs;
}

/** Whether the present incarnation of a worker is known to be allowed. */
export function isAllowed(
  { advice }: Step,
  { entry, incarnationStartMs: bornMs }: Worker,
): boolean {
  return advice.allowed.get(entry.id) === bornMs;
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

function uncommittedCpu({ free, expectedCpu }: Worker): number {
  return free.cpu - expectedCpu;
}

/** Orders workers so that those come first that have most room that no call for tickets counts on. */
export function sortByRoom(workers: Worker[]): Worker[] {
  return [...workers].sort((a, b) => uncommittedCpu(b) - uncommittedCpu(a));
}

/** Adds what the tasks of a call, spread over the workers that it names, probably take there. */
function expectTasks({ step, workers, wanted }: PendingAdviceRequest, sign: 1 | -1): void {
  const each = (step.spec.need.cpu * wanted) / workers.length;
  workers.forEach((worker) => {
    worker.expectedCpu += sign * each;
  });
}

/** Notes that a call for tickets is on its way. */
export function noteAsked(request: PendingAdviceRequest): void {
  const { step, workers } = request;
  workers.forEach(({ entry, incarnationStartMs: bornMs }) =>
    step.advice.asked.set(entry.id, bornMs),
  );
  step.advice.isPending = true;
  expectTasks(request, 1);
}

/** Share of the workers that may run a step of the queue, as far as it is known. */
export function allowedShareOf({ allowedShares }: CellState, queue: string): number {
  return allowedShares.get(queue) ?? initialAllowedShare;
}

/**
 * Workers to ask about that were not asked about yet, in the order given: so many that those allowed
 * probably have room for the wanted tasks.
 *
 * Load answered: more steps than the service can answer calls for; each worker named prolongs a call.
 * Steps that wait at the same time are to ask about different workers, since tickets are of no use on
 * workers that others fill meanwhile.
 */
export function workersToAsk(
  step: Step,
  candidates: Worker[],
  { wanted, allowedShare }: { wanted: number; allowedShare: number },
): Worker[] {
  const share = Math.min(maxAllowedShare, Math.max(minAllowedShare, allowedShare));
  const atLeast = Math.log(noneAllowedProbability) / Math.log(1 - share);
  const chosen: Worker[] = [];
  let places = 0;
  for (const worker of candidates) {
    if (chosen.length >= atLeast && places * share >= wanted * placesMargin) break;
    if (chosen.length === maxWorkersPerAdvice) break;
    if (wasAsked(step, worker)) continue;
    chosen.push(worker);
    places += Math.min(wanted, placesOn(step, worker));
  }
  return chosen;
}

function learnAllowedShare(state: CellState, queue: string, share: number): void {
  const known = allowedShareOf(state, queue);
  state.allowedShares.set(queue, known + (share - known) * allowedShareWeight);
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
  step.job.skippedUntilMs = -Infinity;
  expectTasks(request, -1);
  if (!tickets) {
    workers.forEach((worker) => {
      if (!isAllowed(step, worker)) advice.asked.delete(worker.entry.id);
    });
    advice.notBeforeMs = nowMs + repeatAdviceMs;
    return;
  }
  // Calls that renew tickets of allowed workers tell nothing of the share.
  if (!workers.some((worker) => isAllowed(step, worker)) && workers.length > 0) {
    learnAllowedShare(state, step.job.accepted.queue, tickets.length / workers.length);
  }
  const byId = new Map(workers.map((worker) => [worker.entry.id, worker]));
  tickets.forEach(([id, value]) => {
    const worker = byId.get(id);
    if (!worker) return;
    advice.allowed.set(id, worker.incarnationStartMs);
    advice.tickets.set(id, { value, incarnationStartMs: worker.incarnationStartMs, validUntilMs });
  });
}
