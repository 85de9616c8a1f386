/**
 * Places one step in a pass: starts its tasks where free capacity and tickets allow, and requests the
 * missing tickets. A request about workers that are known to be allowed reserves capacity on them; a
 * first request about workers only counts the CPU that its tasks are expected to use.
 */
import { addRun } from './jobs.ts';
import { getQueueTerms, HoldReason, recordHold } from './pass.ts';
import type { EligibleWorkers, Pass } from './pass.ts';
import {
  chooseGangWorkers,
  chooseWorkers,
  filterCompatibleWorkers,
  hasCapacity,
  isEligible,
} from './placement.ts';
import { addReservation, releaseReservation } from './resource_accounting.ts';
import { getRemainingShare } from './shares.ts';
import {
  getAllowedFraction,
  hasTicket,
  isAllowed,
  recordAdviceRequest,
  selectWorkersToAsk,
  sortByUncommittedCpu,
} from './tickets.ts';
import type { PendingAdviceRequest } from './tickets.ts';
import type { CellState, QueueTerms, Run, Step, Worker } from './state.ts';
import { countTasksWithinLimit } from './upper_limit.ts';
import { recordWait } from './waiting.ts';

/**
 * Maximum number of tasks of a job that are started and not done, and so of the tasks of a gang. With
 * it, the stored progress of a job fits into one transaction.
 */
export const maxStartedTasks = 6_000;

/** Lists the indexes of the tasks of a step that wait for a start. */
function listPendingTasks(step: Step, nowMs: number): number[] {
  const pendingTasks: number[] = [];
  step.tasks.forEach((task, index) => {
    const canStart = !task.isDone && task.runs.length === 0 && (task.notBeforeMs ?? 0) <= nowMs;
    if (canStart) pendingTasks.push(index);
  });
  if (step.spec.gang && pendingTasks.length < step.spec.count) return [];
  return pendingTasks;
}

/** Leaves out tasks whose first start would exceed the maximum of started tasks of the job. */
function limitFirstStarts({ job, spec, tasks }: Step, pendingTasks: number[]): number[] {
  const isFirstStart = (index: number) => tasks[index]!.attempt === 0;
  let allowed = Math.max(0, maxStartedTasks - job.startedTasks);
  if (pendingTasks.length <= allowed) return pendingTasks;
  if (pendingTasks.filter(isFirstStart).length <= allowed) return pendingTasks;
  if (spec.gang) return [];
  return pendingTasks.filter((index) => {
    if (!isFirstStart(index)) return true;
    allowed -= 1;
    return allowed >= 0;
  });
}

/** Chooses workers for a gang or for single tasks; undefined if there is no capacity. */
function chooseWorkersFor(
  step: Step,
  workers: Worker[],
  wantedTasks: number,
): Map<Worker, number> | undefined {
  const compatible = filterCompatibleWorkers(step, workers);
  if (step.spec.gang) return chooseGangWorkers(step, compatible);
  const counts = chooseWorkers(step, compatible, wantedTasks);
  return counts.size > 0 ? counts : undefined;
}

function startTasks(
  state: CellState,
  step: Step,
  counts: Map<Worker, number>,
  pendingTasks: number[],
  nowMs: number,
): Run[] {
  const gangAttempt = Math.max(...step.tasks.map(({ attempt }) => attempt)) + 1;
  const starts: Run[] = [];
  let next = 0;
  counts.forEach((count, worker) => {
    for (let i = 0; i < count; i++) {
      const index = pendingTasks[next]!;
      const attempt = step.spec.gang ? gangAttempt : step.tasks[index]!.attempt + 1;
      starts.push(addRun(state, { step, index, worker, attempt, nowMs }));
      next += 1;
    }
  });
  return starts;
}

/** Makes an advice request if a slot is free; returns whether it did. */
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
  const request = { step, workers: [...counts.keys()], wantedTasks, terms };
  if (requestTickets(pass, request)) addReservation(pass.state, step, { workers: counts });
}

/** Selects the eligible workers among the given ids that satisfy the predicate. */
function selectWorkers(
  { state }: Pass,
  eligible: EligibleWorkers,
  ids: Iterable<string>,
  predicate: (worker: Worker) => boolean,
): Worker[] {
  const workers: Worker[] = [];
  for (const id of ids) {
    const worker = eligible.ids.has(id) ? state.workers.get(id) : undefined;
    if (worker && predicate(worker)) workers.push(worker);
  }
  return workers;
}

function placeWithTickets(
  pass: Pass,
  step: Step,
  eligible: EligibleWorkers,
  pendingTasks: number[],
  wantedTasks: number,
  terms: QueueTerms,
): void {
  const { advice } = step;
  if (advice.isPending) {
    recordHold(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  // The reservation was made for tickets that have now arrived.
  releaseReservation(pass.state, step);
  const arrivalMs = pass.nowMs + pass.orderDelayMs;
  const workersWithTicket = selectWorkers(pass, eligible, advice.tickets.keys(), (worker) =>
    hasTicket(step, worker, arrivalMs),
  );
  const counts = chooseWorkersFor(step, workersWithTicket, wantedTasks);
  const starts = counts ? startTasks(pass.state, step, counts, pendingTasks, pass.nowMs) : [];
  pass.decisions.starts.push(...starts);
  const remaining = wantedTasks - starts.length;
  if (remaining === 0) return;
  if (pass.nowMs < advice.notBeforeMs) {
    recordHold(pass, step.job, HoldReason.AdvicePending);
    return;
  }
  const unaskedWorkers = selectWorkersToAsk(
    step,
    filterCompatibleWorkers(step, eligible.byUncommittedCpu),
    {
      wantedTasks: remaining,
      allowedFraction: getAllowedFraction(pass.state, step.job.accepted.queue),
    },
  );
  if (unaskedWorkers.length > 0) {
    requestTickets(pass, { step, workers: unaskedWorkers, wantedTasks: remaining, terms });
    return;
  }
  // A gang needs new tickets for all its workers, single tasks only additional ones.
  const candidates = selectWorkers(
    pass,
    eligible,
    advice.allowed.keys(),
    (worker) => isAllowed(step, worker) && (step.spec.gang || !hasTicket(step, worker, arrivalMs)),
  );
  reserveAndRequestTickets(pass, step, candidates, remaining, terms);
}

/** Counts how many tasks of a step fit into the rest of its organisation's share. */
function countTasksWithinShare({ state, shares }: Pass, step: Step): number {
  const remaining = getRemainingShare(state, shares, step.job.accepted.organisation);
  return step.spec.need.cpu > 0
    ? Math.floor(Math.max(0, remaining) / step.spec.need.cpu)
    : Infinity;
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

/** Returns why a step cannot be placed even with free capacity; undefined if it may be placed. */
function findHoldReason(
  { queuesWithoutSlot }: Pass,
  step: Step,
  terms: QueueTerms,
  maxTasks: { withinLimit: number; withinShare: number },
): HoldReason | undefined {
  const { advice, reservation, spec, job } = step;
  const minTasks = spec.gang ? spec.count : 1;
  if (maxTasks.withinLimit < minTasks) return HoldReason.Limit;
  if (maxTasks.withinShare < minTasks) return HoldReason.Share;
  if (!terms.advice) return undefined;
  if (advice.isPending) return HoldReason.AdvicePending;
  const needsRequest = advice.tickets.size === 0 && !reservation;
  return needsRequest && queuesWithoutSlot.has(job.accepted.queue)
    ? HoldReason.AdviceSlot
    : undefined;
}

/** Places the tasks of a step as far as possible; returns the reason if the step is skipped. */
export function placeStep(
  pass: Pass,
  step: Step,
  isLimitedToShare: boolean,
): HoldReason | undefined {
  const { state, nowMs, configurationIndex } = pass;
  const { accepted } = step.job;
  const queue = configurationIndex.queues.get(accepted.queue);
  const terms = getQueueTerms(step.job, queue);
  const allPendingTasks = listPendingTasks(step, nowMs);
  const pendingTasks = limitFirstStarts(step, allPendingTasks);
  if (pendingTasks.length === 0) {
    releaseReservation(state, step);
    return allPendingTasks.length > 0 ? HoldReason.JobSize : undefined;
  }
  const withinLimit = countTasksWithinLimit(
    step,
    state.usage.get(accepted.organisation),
    configurationIndex.organisations.get(accepted.organisation)?.upperLimit,
  );
  const withinShare = isLimitedToShare ? countTasksWithinShare(pass, step) : Infinity;
  const reason = findHoldReason(pass, step, terms, { withinLimit, withinShare });
  if (reason !== undefined) return reason;
  const wantedTasks = Math.min(pendingTasks.length, withinLimit, withinShare);
  const eligible = getEligibleWorkers(pass, step, queue?.service ?? accepted.service);
  if (!step.reservation && !hasCapacity(step, filterCompatibleWorkers(step, eligible.all)))
    return HoldReason.Room;
  if (terms.advice) {
    placeWithTickets(pass, step, eligible, pendingTasks, wantedTasks, terms);
    return undefined;
  }
  const counts = chooseWorkersFor(step, eligible.all, wantedTasks);
  if (counts) pass.decisions.starts.push(...startTasks(state, step, counts, pendingTasks, nowMs));
  return undefined;
}
