/**
 * Tickets: permissions to run a step on a worker, which the advice service gives for a short time.
 */
import { placesOn } from './placement.ts';
import type { CellState, QueueTerms, Step, Worker } from './state.ts';

/** A call for tickets, and the place that was taken for it. */
export interface AdviceRequest<Slot = unknown> {
  step: Step;
  workers: Worker[];
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

/** A worker's incarnation, for which an answer of the service holds. */
export function adviceKey(worker: Worker): string {
  return `${worker.entry.id}@${worker.bornMs}`;
}

/** Whether a step has a ticket for a worker that is valid until the time. */
export function hasTicket(step: Step, worker: Worker, untilMs: number): boolean {
  const ticket = step.advice.tickets.get(worker.entry.id);
  return ticket !== undefined && ticket.bornMs === worker.bornMs && ticket.validUntilMs > untilMs;
}

function byRoom(a: Worker, b: Worker): number {
  return b.free.cpu - a.free.cpu;
}

/** Share of the workers that may run a step of the queue, as far as it is known. */
export function allowedShareOf({ allowedShares }: CellState, queue: string): number {
  return allowedShares.get(queue) ?? initialAllowedShare;
}

/**
 * Workers to ask about that were not asked about yet, those with most room first: so many that those
 * allowed probably have room for the wanted tasks.
 *
 * Load answered: more steps than the service can answer calls for; each worker named prolongs a call.
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
  const unknown = candidates
    .filter((worker) => !step.advice.asked.has(adviceKey(worker)))
    .sort(byRoom)
    .slice(0, maxWorkersPerAdvice);
  for (const worker of unknown) {
    if (chosen.length >= atLeast && places * share >= wanted * placesMargin) break;
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
 * takeAdvice(state, request, [['i-1', 'c81e']], { validUntilMs: now + 1_500, nowMs: now });
 */
export function takeAdvice(
  state: CellState,
  { step, workers }: AdviceRequest,
  tickets: [worker: string, ticket: string][] | undefined,
  { validUntilMs, nowMs }: { validUntilMs: number; nowMs: number },
): void {
  const { advice } = step;
  advice.isPending = false;
  if (!tickets) {
    workers.forEach((worker) => {
      if (!advice.allowed.has(adviceKey(worker))) advice.asked.delete(adviceKey(worker));
    });
    advice.notBeforeMs = nowMs + repeatAdviceMs;
    return;
  }
  // Calls that renew tickets of allowed workers tell nothing of the share.
  if (!workers.some((worker) => advice.allowed.has(adviceKey(worker))) && workers.length > 0) {
    learnAllowedShare(state, step.job.accepted.queue, tickets.length / workers.length);
  }
  const byId = new Map(workers.map((worker) => [worker.entry.id, worker]));
  tickets.forEach(([id, value]) => {
    const worker = byId.get(id);
    if (!worker) return;
    advice.allowed.add(adviceKey(worker));
    advice.tickets.set(id, { value, bornMs: worker.bornMs, validUntilMs });
  });
}
