/**
 * Tickets: permissions to run a step on a worker, which the advice service gives for a short time.
 */
import type { QueueTerms, Step, Worker } from './state.ts';

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

/** Asks about workers that were not asked about yet, those with most room first. */
export function workersNotAsked(step: Step, candidates: Worker[]): Worker[] {
  return candidates
    .filter((worker) => !step.advice.asked.has(adviceKey(worker)))
    .sort(byRoom)
    .slice(0, maxWorkersPerAdvice);
}

/**
 * Takes the answer to a call for tickets; without an answer the step is asked for again later.
 *
 * @example
 * takeAdvice(request, [['i-1', 'c81e']], { validUntilMs: now + 1_500, nowMs: now });
 */
export function takeAdvice(
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
  const byId = new Map(workers.map((worker) => [worker.entry.id, worker]));
  tickets.forEach(([id, value]) => {
    const worker = byId.get(id);
    if (!worker) return;
    advice.allowed.add(adviceKey(worker));
    advice.tickets.set(id, { value, bornMs: worker.bornMs, validUntilMs });
  });
}
