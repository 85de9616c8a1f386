/**
 * Serves one step in a pass: starts its tasks where room and tickets allow, holds room for those that
 * need tickets, and asks for these.
 */
import { addRun } from './jobs.ts';
import { HoldReason, recordHold, getQueueTerms } from './pass.ts';
import type { EligibleWorkers, Pass } from './pass.ts';
import {
  chooseGangWorkers,
  chooseWorkers,
  hasCapacity,
  isEligible,
  countTasksWithinLimit,
  filterCompatibleWorkers,
} from './placement.ts';
import { dropReservation, makeReservation } from './resource_accounting.ts';
import { getRemainingShare } from './shares.ts';
import {
  getAllowedFraction,
  hasTicket,
  isAllowed,
  recordAdviceRequest,
  sortByUncommittedCpu,
  selectWorkersToAsk,
} from './tickets.ts';
import type { PendingAdviceRequest } from './tickets.ts';
import type { CellState, QueueTerms, Run, Step, Worker } from './state.ts';
import { recordWait } from './waiting.ts';

/** Numbers of the tasks of a step that wait for a start. */
function listPendingTasks(step: Step, nowMs: number): number[] {
  const waiting: number[] = [];
  step.tasks.forEach((task, index) => {
    const isWaiting = !task.isDone && task.runs.length === 0 && (task.notBeforeMs ?? 0) <= nowMs;
    if (isWaiting) waiting.push(index);
  });
  if (step.spec.gang && waiting.length < step.spec.count) return [];
  return waiting;
}

/** The chosen workers, whether for a gang or for single tasks. */
function chooseWorkersFor(
  step: Step,
  workers: Worker[],
  wantedTasks: number,
): Map<Worker, number> | undefined {
  const undisturbed = filterCompatibleWorkers(step, workers);
  if (step.spec.gang) return chooseGangWorkers(step, undisturbed);
  const counts = chooseWorkers(step, undisturbed, wantedTasks);
  return counts.size > 0 ? counts : undefined;
}

function startTasks(
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
      starts.push(addRun(state, { step, index, worker, attempt, nowMs }));
      next += 1;
    }
  });
  return starts;
}

/** Asks for tickets if there is a place for the call; tells whether it did. */
function requestTickets(
  pass: Pass,
  { step, workers, wantedTasks, terms }: Omit<PendingAdviceRequest, 'slot'>,
): boolean {
  const { decisionMs, perWorkerMs } = terms.advice!;
  const slot = pass.acquireAdviceSlot(decisionMs + perWorkerMs * workers.length, pass.isUrgent);
  if (slot === undefined) {
    recordHold(pass, step.job, HoldReason.AdviceSlot);
    pass.queuesWithoutSlot.add(step.job.accepted.queue);
    return false;
  }
  const request = { step, workers, wantedTasks, terms, slot };
  recordAdviceRequest(request);
  recordWait(step.job, HoldReason.AdvicePending, pass.nowMs);
  pass.decisions.adviceRequests.push(request);
  return true;
}

function reserveAndRequestTickets(
  pass: Pass,
  step: Step,
  allowed: Worker[],
  wantedTasks: number,
  terms: QueueTerms,
): void {
  const counts = chooseWorkersFor(step, allowed, wantedTasks);
  if (!counts) {
    recordHold(pass, step.job, HoldReason.NotAllowed);
    return;
  }
  const workers = new Map([...counts].map(([worker, count]) => [worker.entry.id, count]));
  const request = { step, workers: [...counts.keys()], wantedTasks, terms };
  if (requestTickets(pass, request)) makeReservation(pass.state, step, { workers });
}

/** The workers of the ids that may run the step now. */
function selectWorkers(
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

function placeWithTickets(
  pass: Pass,
  step: Step,
  eligible: EligibleWorkers,
  waiting: number[],
  wantedTasks: number,
  terms: QueueTerms,
): void {
  const { advice } = step;
  if (advice.isPending) {
    recordHold(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  // A reservation was made for the tickets that have now arrived.
  dropReservation(pass.state, step);
  const untilMs = pass.nowMs + pass.orderDelayMs;
  const withTicket = selectWorkers(pass, eligible, advice.tickets.keys(), (worker) =>
    hasTicket(step, worker, untilMs),
  );
  const counts = chooseWorkersFor(step, withTicket, wantedTasks);
  const starts = counts ? startTasks(pass.state, step, counts, waiting, pass.nowMs) : [];
  pass.decisions.starts.push(...starts);
  const left = wantedTasks - starts.length;
  if (left === 0) return;
  if (pass.nowMs < advice.notBeforeMs) {
    recordHold(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  const unknown = selectWorkersToAsk(
    step,
    filterCompatibleWorkers(step, eligible.byUncommittedCpu),
    {
      wantedTasks: left,
      allowedFraction: getAllowedFraction(pass.state, step.job.accepted.queue),
    },
  );
  if (unknown.length > 0) {
    requestTickets(pass, { step, workers: unknown, wantedTasks: left, terms });
    return;
  }
  // A gang needs the tickets of all its workers anew, single tasks only further ones.
  const candidates = selectWorkers(
    pass,
    eligible,
    advice.allowed.keys(),
    (worker) => isAllowed(step, worker) && (step.spec.gang || !hasTicket(step, worker, untilMs)),
  );
  reserveAndRequestTickets(pass, step, candidates, left, terms);
}

/** How many tasks of a step fit into what is left of its organisation's share. */
function countTasksWithinShare({ state, shares }: Pass, step: Step): number {
  const left = getRemainingShare(state, shares, step.job.accepted.organisation);
  return step.spec.need.cpu > 0 ? Math.floor(Math.max(0, left) / step.spec.need.cpu) : Infinity;
}

function getEligibleWorkers(
  { eligible, schedulable }: Pass,
  step: Step,
  service: string,
): EligibleWorkers {
  const key = `${service} ${step.spec.requirement ?? ''}`;
  let workers = eligible.get(key);
  if (!workers) {
    const all = schedulable.filter((worker) => isEligible(worker, step, service));
    workers = {
      all,
      ids: new Set(all.map(({ entry }) => entry.id)),
      byUncommittedCpu: sortByUncommittedCpu(all),
    };
    eligible.set(key, workers);
  }
  return workers;
}

/** Why a step cannot be served whatever room there is; undefined when it may be. */
function findHoldReason(
  { queuesWithoutSlot }: Pass,
  step: Step,
  terms: QueueTerms,
  places: { withinLimit: number; withinShare: number },
): HoldReason | undefined {
  const { advice, reservation, spec, job } = step;
  const needed = spec.gang ? spec.count : 1;
  if (places.withinLimit < needed) return HoldReason.Limit;
  if (places.withinShare < needed) return HoldReason.Share;
  if (!terms.advice) return undefined;
  if (advice.isPending) return HoldReason.AdvicePending;
  const needsCall = advice.tickets.size === 0 && !reservation;
  return needsCall && queuesWithoutSlot.has(job.accepted.queue) ? HoldReason.AdviceSlot : undefined;
}

/** Serves a step as far as it can be; returns the reason when it cannot. */
export function placeStep(pass: Pass, step: Step, isWithinShare: boolean): HoldReason | undefined {
  const { state, nowMs, configurationIndex } = pass;
  const { accepted } = step.job;
  const queue = configurationIndex.queues.get(accepted.queue);
  const terms = getQueueTerms(step.job, queue);
  const waiting = listPendingTasks(step, nowMs);
  if (waiting.length === 0) {
    dropReservation(state, step);
    return undefined;
  }
  const withinLimit = countTasksWithinLimit(
    step,
    state.usage.get(accepted.organisation),
    configurationIndex.organisations.get(accepted.organisation)?.upperLimit,
  );
  const withinShare = isWithinShare ? countTasksWithinShare(pass, step) : Infinity;
  const reason = findHoldReason(pass, step, terms, { withinLimit, withinShare });
  if (reason !== undefined) return reason;
  const wantedTasks = Math.min(waiting.length, withinLimit, withinShare);
  const eligible = getEligibleWorkers(pass, step, queue?.service ?? accepted.service);
  if (!step.reservation && !hasCapacity(step, filterCompatibleWorkers(step, eligible.all)))
    return HoldReason.Room;
  if (terms.advice) {
    placeWithTickets(pass, step, eligible, waiting, wantedTasks, terms);
    return undefined;
  }
  const counts = chooseWorkersFor(step, eligible.all, wantedTasks);
  if (counts) pass.decisions.starts.push(...startTasks(state, step, counts, waiting, nowMs));
  return undefined;
}
