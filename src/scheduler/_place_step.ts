/**
 * Serves one step in a pass: starts its tasks where room and tickets allow, holds room for those that
 * need tickets, and asks for these.
 */
import { orderRun } from './jobs.ts';
import { HoldReason, noteHeld, getQueueTerms } from './pass.ts';
import type { EligibleWorkers, Pass } from './pass.ts';
import {
  chooseForGang,
  chooseWorkers,
  hasRoom,
  isEligible,
  placesWithinLimit,
  undisturbedWorkers,
} from './placement.ts';
import { dropPlan, holdPlan } from './resource_accounting.ts';
import { leftOfShare } from './shares.ts';
import {
  allowedShareOf,
  hasTicket,
  isAllowed,
  noteAsked,
  sortByRoom,
  workersToAsk,
} from './tickets.ts';
import type { PendingAdviceRequest } from './tickets.ts';
import type { CellState, QueueTerms, Run, Step, Worker } from './state.ts';
import { noteWait } from './waiting.ts';

/** Numbers of the tasks of a step that wait for a start. */
function waitingTasks(step: Step, nowMs: number): number[] {
  const waiting: number[] = [];
  step.tasks.forEach((task, index) => {
    const isWaiting = !task.done && task.runs.length === 0 && (task.notBeforeMs ?? 0) <= nowMs;
    if (isWaiting) waiting.push(index);
  });
  if (step.spec.gang && waiting.length < step.spec.count) return [];
  return waiting;
}

/** The chosen workers, whether for a gang or for single tasks. */
function choose(step: Step, workers: Worker[], wanted: number): Map<Worker, number> | undefined {
  const undisturbed = undisturbedWorkers(step, workers);
  if (step.spec.gang) return chooseForGang(step, undisturbed);
  const counts = chooseWorkers(step, undisturbed, wanted);
  return counts.size > 0 ? counts : undefined;
}

function start(
  state: CellState,
  step: Step,
  counts: Map<Worker, number>,
  waiting: number[],
  nowMs: number,
): Run[] {
  const gangAttempt = Math.max(...step.tasks.map(({ attempt }) => attempt)) + 1;
  const starts: Run[] = [];
  let next = 0;
  counts.forEach((count, worker) => {
    for (let i = 0; i < count; i++) {
      const index = waiting[next]!;
      const attempt = step.spec.gang ? gangAttempt : step.tasks[index]!.attempt + 1;
      starts.push(orderRun(state, { step, index, worker, attempt, nowMs }));
      next += 1;
    }
  });
  return starts;
}

/** Asks for tickets if there is a place for the call; tells whether it did. */
function ask(
  pass: Pass,
  { step, workers, wanted, terms }: Omit<PendingAdviceRequest, 'slot'>,
): boolean {
  const { decisionMs, perWorkerMs } = terms.advice!;
  const slot = pass.acquireAdviceSlot(decisionMs + perWorkerMs * workers.length, pass.isUrgent);
  if (slot === undefined) {
    noteHeld(pass, step.job, HoldReason.AdviceSlot);
    pass.withoutSlot.add(step.job.accepted.queue);
    return false;
  }
  const request = { step, workers, wanted, terms, slot };
  noteAsked(request);
  noteWait(step.job, HoldReason.AdvicePending, pass.nowMs);
  pass.decisions.adviceRequests.push(request);
  return true;
}

function planWithoutTickets(
  pass: Pass,
  step: Step,
  allowed: Worker[],
  wanted: number,
  terms: QueueTerms,
): void {
  const counts = choose(step, allowed, wanted);
  if (!counts) {
    noteHeld(pass, step.job, HoldReason.NotAllowed);
    return;
  }
  const workers = new Map([...counts].map(([worker, count]) => [worker.entry.id, count]));
  const request = { step, workers: [...counts.keys()], wanted, terms };
  if (ask(pass, request)) holdPlan(pass.state, step, { workers });
}

/** The workers of the ids that may run the step now. */
function workersOf(
  { state }: Pass,
  eligible: EligibleWorkers,
  ids: Iterable<string>,
  isWanted: (worker: Worker) => boolean,
): Worker[] {
  const workers: Worker[] = [];
  for (const id of ids) {
    const worker = eligible.ids.has(id) ? state.workers.get(id) : undefined;
    if (worker && isWanted(worker)) workers.push(worker);
  }
  return workers;
}

function placeWithAdvice(
  pass: Pass,
  step: Step,
  eligible: EligibleWorkers,
  waiting: number[],
  wanted: number,
  terms: QueueTerms,
): void {
  const { advice } = step;
  if (advice.isPending) {
    noteHeld(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  // A plan was made for the tickets that have now arrived.
  dropPlan(pass.state, step);
  const untilMs = pass.nowMs + pass.orderDelayMs;
  const withTicket = workersOf(pass, eligible, advice.tickets.keys(), (worker) =>
    hasTicket(step, worker, untilMs),
  );
  const counts = choose(step, withTicket, wanted);
  const starts = counts ? start(pass.state, step, counts, waiting, pass.nowMs) : [];
  pass.decisions.starts.push(...starts);
  const left = wanted - starts.length;
  if (left === 0) return;
  if (pass.nowMs < advice.notBeforeMs) {
    noteHeld(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  const unknown = workersToAsk(step, undisturbedWorkers(step, eligible.byRoom), {
    wanted: left,
    allowedShare: allowedShareOf(pass.state, step.job.accepted.queue),
  });
  if (unknown.length > 0) {
    ask(pass, { step, workers: unknown, wanted: left, terms });
    return;
  }
  // A gang needs the tickets of all its workers anew, single tasks only further ones.
  const candidates = workersOf(
    pass,
    eligible,
    advice.allowed.keys(),
    (worker) => isAllowed(step, worker) && (step.spec.gang || !hasTicket(step, worker, untilMs)),
  );
  planWithoutTickets(pass, step, candidates, left, terms);
}

/** How many tasks of a step fit into what is left of its organisation's share. */
function placesWithinShare({ state, shares }: Pass, step: Step): number {
  const left = leftOfShare(state, shares, step.job.accepted.organisation);
  return step.spec.need.cpu > 0 ? Math.floor(Math.max(0, left) / step.spec.need.cpu) : Infinity;
}

function eligibleWorkers({ eligible, usable }: Pass, step: Step, service: string): EligibleWorkers {
  const key = `${service} ${step.spec.requirement ?? ''}`;
  let workers = eligible.get(key);
  if (!workers) {
    const all = usable.filter((worker) => isEligible(worker, step, service));
    workers = { all, ids: new Set(all.map(({ entry }) => entry.id)), byRoom: sortByRoom(all) };
    eligible.set(key, workers);
  }
  return workers;
}

/** Why a step cannot be served whatever room there is; undefined when it may be. */
function holdReasonOf(
  { withoutSlot }: Pass,
  step: Step,
  terms: QueueTerms,
  places: { withinLimit: number; withinShare: number },
): HoldReason | undefined {
  const { advice, plan, spec, job } = step;
  const needed = spec.gang ? spec.count : 1;
  if (places.withinLimit < needed) return HoldReason.Limit;
  if (places.withinShare < needed) return HoldReason.Share;
  if (!terms.advice) return undefined;
  if (advice.isPending) return HoldReason.AdvicePending;
  const needsCall = advice.tickets.size === 0 && !plan;
  return needsCall && withoutSlot.has(job.accepted.queue) ? HoldReason.AdviceSlot : undefined;
}

/** Serves a step as far as it can be; returns the reason when it cannot. */
export function placeStep(pass: Pass, step: Step, isWithinShare: boolean): HoldReason | undefined {
  const { state, nowMs, lookup } = pass;
  const { accepted } = step.job;
  const queue = lookup.queues.get(accepted.queue);
  const terms = getQueueTerms(step.job, queue);
  const waiting = waitingTasks(step, nowMs);
  if (waiting.length === 0) {
    dropPlan(state, step);
    return undefined;
  }
  const withinLimit = placesWithinLimit(
    step,
    state.usage.get(accepted.organisation),
    lookup.organisations.get(accepted.organisation)?.upperLimit,
  );
  const withinShare = isWithinShare ? placesWithinShare(pass, step) : Infinity;
  const reason = holdReasonOf(pass, step, terms, { withinLimit, withinShare });
  if (reason !== undefined) return reason;
  const wanted = Math.min(waiting.length, withinLimit, withinShare);
  const eligible = eligibleWorkers(pass, step, queue?.service ?? accepted.service);
  if (!step.plan && !hasRoom(step, undisturbedWorkers(step, eligible.all))) return HoldReason.Room;
  if (terms.advice) {
    placeWithAdvice(pass, step, eligible, waiting, wanted, terms);
    return undefined;
  }
  const counts = choose(step, eligible.all, wanted);
  if (counts) pass.decisions.starts.push(...start(state, step, counts, waiting, nowMs));
  return undefined;
}
