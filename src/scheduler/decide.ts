/**
 * The decision what to start next: a pass over all steps whose turn has come, in order, which places
 * their tasks on workers and says for which steps tickets are to be asked.
 *
 * Load answered: more work than room. Steps that come first take room first; a step that waits for
 * tickets holds its room, so that later work does not take it. Calls for tickets are made only for
 * what has room and only as many as the service takes, so that they never queue. A pass over a backlog
 * of a thousand jobs costs little: what cannot be served for a reason that holds for its whole queue or
 * organisation is passed over at once, and of what can only be late without worth a few are tried.
 */
import type { Configuration, Organisation, Queue } from '../model/mod.ts';
import { occurrenceCount, orderRun, stepsOf } from './jobs.ts';
import { compareRanks, rankOf, Urgency } from './order.ts';
import {
  chooseForGang,
  chooseWorkers,
  hasRoom,
  isEligible,
  isUsable,
  placesWithinLimit,
} from './placement.ts';
import { dropPlan, holdPlan } from './rooms.ts';
import { fairShares, leftOfShare } from './shares.ts';
import { adviceKey, allowedShareOf, hasTicket, workersToAsk } from './tickets.ts';
import type { AdviceRequest } from './tickets.ts';
import type { CellState, Job, QueueTerms, Run, Step, Worker } from './state.ts';

/** Why a step that has waiting tasks was not served in a pass. */
export const HoldReason = {
  /** Its organisation's upper limit or share is used up. */
  Limit: 'limit',
  /** No room on workers that may run it. */
  Room: 'room',
  /** No free call for tickets. */
  AdviceSlot: 'adviceSlot',
  /** A call for tickets is under way, or has just failed. */
  AdvicePending: 'advicePending',
  /** No worker with room is allowed to run it. */
  NotAllowed: 'notAllowed',
} as const;

/** One of the values of {@link HoldReason}. */
export type HoldReason = (typeof HoldReason)[keyof typeof HoldReason];

/** What is to be done. */
export interface Decisions<Slot = unknown> {
  /** Steps that were not served, by reason; a step may be counted twice in a pass. */
  held: Record<HoldReason, number>;
  starts: Run[];
  adviceRequests: AdviceRequest<Slot>[];
}

/** What a pass goes by, apart from the state. */
export interface DecisionInputs<Slot = unknown> {
  nowMs: number;
  wallMs: number;
  configuration: Configuration;
  evacuated: ReadonlySet<string>;
  /** Time that passes between a decision and the arrival of its order at the worker. */
  orderDelayMs: number;
  /**
   * Takes a place for a call for tickets that takes about so long; undefined when there is none. A
   * call that is not urgent leaves places to others.
   */
  takeAdviceSlot(expectedMs: number, isUrgent: boolean): Slot | undefined;
}

/** Steps without worth that a pass tries to place. */
const maxTooLateTried = 24;

interface Lookup {
  queues: Map<string, Queue>;
  organisations: Map<string, Organisation>;
}

/** The figures of a job's queue: those in force, or those at acceptance once the queue is gone. */
export function termsOf(job: Job, queue: Queue | undefined): QueueTerms {
  return queue ?? job.accepted.terms;
}

function isDue(job: Job, occurrence: number, wallMs: number): boolean {
  const { repetition } = job.accepted.spec;
  return !repetition || wallMs >= repetition.startAtMs + occurrence * repetition.intervalMs;
}

function readySteps(job: Job, wallMs: number): Step[] {
  const ready: Step[] = [];
  for (let k = 0; k < occurrenceCount(job) && isDue(job, k, wallMs); k++) {
    const steps = stepsOf(job, k);
    const isReady = (step: Step) =>
      step.remaining > 0 && step.spec.after.every((number) => steps[number]?.remaining === 0);
    ready.push(...steps.filter(isReady));
  }
  return ready;
}

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
  if (step.spec.gang) return chooseForGang(step, workers);
  const counts = chooseWorkers(step, workers, wanted);
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

interface Pass<Slot = unknown> extends DecisionInputs<Slot> {
  state: CellState;
  lookup: Lookup;
  /** Workers that take new work now. */
  usable: Worker[];
  /** Those of them that may run a step, by service and required label; filled when asked for. */
  eligible: Map<string, Worker[]>;
  /** The steps served now still are worth something. */
  isUrgent: boolean;
  /** Queues for whose steps there is no further call for tickets in this pass. */
  withoutSlot: Set<string>;
  /** Processor that is each organisation's share of them. */
  shares: ReadonlyMap<string, number>;
  decisions: Decisions<Slot>;
}

/** Asks for tickets if there is a place for the call; tells whether it did. */
function ask(pass: Pass, step: Step, workers: Worker[], terms: QueueTerms): boolean {
  const { decisionMs, perWorkerMs } = terms.advice!;
  const slot = pass.takeAdviceSlot(
    decisionMs + perWorkerMs * workers.length,
    pass.isUrgent,
  );
  if (slot === undefined) {
    pass.decisions.held.adviceSlot += 1;
    pass.withoutSlot.add(step.job.accepted.queue);
    return false;
  }
  workers.forEach((worker) => step.advice.asked.add(adviceKey(worker)));
  step.advice.isPending = true;
  pass.decisions.adviceRequests.push({ step, workers, terms, slot });
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
    pass.decisions.held.notAllowed += 1;
    return;
  }
  const workers = new Map([...counts].map(([worker, count]) => [worker.entry.id, count]));
  if (ask(pass, step, [...counts.keys()], terms)) holdPlan(pass.state, step, { workers });
}

function placeWithAdvice(
  pass: Pass,
  step: Step,
  usable: Worker[],
  waiting: number[],
  wanted: number,
  terms: QueueTerms,
): void {
  const { advice } = step;
  if (advice.isPending) {
    pass.decisions.held.advicePending += 1;
    return;
  }
  // A plan was made for the tickets that have now arrived.
  dropPlan(pass.state, step);
  const untilMs = pass.nowMs + pass.orderDelayMs;
  const withTicket = usable.filter((worker) => hasTicket(step, worker, untilMs));
  const counts = choose(step, withTicket, wanted);
  const starts = counts ? start(pass.state, step, counts, waiting, pass.nowMs) : [];
  pass.decisions.starts.push(...starts);
  const left = wanted - starts.length;
  if (left === 0) return;
  if (pass.nowMs < advice.notBeforeMs) {
    pass.decisions.held.advicePending += 1;
    return;
  }
  const unknown = workersToAsk(step, usable, {
    wanted: left,
    allowedShare: allowedShareOf(pass.state, step.job.accepted.queue),
  });
  if (unknown.length > 0) {
    ask(pass, step, unknown, terms);
    return;
  }
  // A gang needs the tickets of all its workers anew, single tasks only further ones.
  const candidates = usable.filter(
    (worker) =>
      advice.allowed.has(adviceKey(worker)) &&
      (step.spec.gang || !hasTicket(step, worker, untilMs)),
  );
  planWithoutTickets(pass, step, candidates, left, terms);
}

/** How many tasks of a step fit into what is left of its organisation's share. */
function placesWithinShare({ state, shares }: Pass, step: Step): number {
  const left = leftOfShare(state, shares, step.job.accepted.organisation);
  return step.spec.need.cpu > 0 ? Math.floor(Math.max(0, left) / step.spec.need.cpu) : Infinity;
}

function eligibleWorkers({ eligible, usable }: Pass, step: Step, service: string): Worker[] {
  const key = `${service} ${step.spec.requirement ?? ''}`;
  let workers = eligible.get(key);
  if (!workers) {
    workers = usable.filter((worker) => isEligible(worker, step, service));
    eligible.set(key, workers);
  }
  return workers;
}

/** Why a step cannot be served whatever room there is; undefined when it may be. */
function holdReasonOf(
  { withoutSlot }: Pass,
  step: Step,
  terms: QueueTerms,
  allowedPlaces: number,
): HoldReason | undefined {
  const { advice, plan, spec, job } = step;
  if (allowedPlaces < (spec.gang ? spec.count : 1)) return HoldReason.Limit;
  if (!terms.advice) return undefined;
  if (advice.isPending) return HoldReason.AdvicePending;
  const needsCall = advice.tickets.size === 0 && !plan;
  return needsCall && withoutSlot.has(job.accepted.queue) ? HoldReason.AdviceSlot : undefined;
}

/** Serves a step as far as it can be; returns the reason when it cannot. */
function placeStep(pass: Pass, step: Step, isWithinShare: boolean): HoldReason | undefined {
  const { state, nowMs, lookup } = pass;
  const { accepted } = step.job;
  const queue = lookup.queues.get(accepted.queue);
  const terms = termsOf(step.job, queue);
  const withinLimit = placesWithinLimit(
    step,
    state.usage.get(accepted.organisation),
    lookup.organisations.get(accepted.organisation)?.upperLimit,
  );
  const withinShare = isWithinShare ? placesWithinShare(pass, step) : Infinity;
  const allowedPlaces = Math.min(withinLimit, withinShare);
  const reason = holdReasonOf(pass, step, terms, allowedPlaces);
  if (reason !== undefined) return reason;
  const waiting = waitingTasks(step, nowMs);
  if (waiting.length === 0) {
    dropPlan(state, step);
    return undefined;
  }
  const wanted = Math.min(waiting.length, allowedPlaces);
  const usable = eligibleWorkers(pass, step, queue?.service ?? accepted.service);
  if (!step.plan && !hasRoom(step, usable)) return HoldReason.Room;
  if (terms.advice) {
    placeWithAdvice(pass, step, usable, waiting, wanted, terms);
    return undefined;
  }
  const counts = choose(step, usable, wanted);
  if (counts) pass.decisions.starts.push(...start(state, step, counts, waiting, nowMs));
  return undefined;
}

function placeSteps(pass: Pass, steps: Step[], isWithinShare: boolean): void {
  steps.forEach((step) => {
    const reason = placeStep(pass, step, isWithinShare);
    if (reason !== undefined) pass.decisions.held[reason] += 1;
  });
}

/**
 * Tries to place a few of the steps that can only be late without worth, those first that were not
 * tried for longest, so that one that nothing can run does not hold back the others.
 */
function placeTooLate(pass: Pass, steps: Step[]): void {
  const inTurn = [...steps].sort((a, b) => a.triedAtMs - b.triedAtMs);
  let tried = 0;
  for (const step of inTurn) {
    const reason = placeStep(pass, step, false);
    if (reason !== undefined) pass.decisions.held[reason] += 1;
    if (reason === undefined || reason === HoldReason.Room) {
      step.triedAtMs = pass.nowMs;
      tried += 1;
    }
    if (tried >= maxTooLateTried) return;
  }
}

/**
 * Decides what to start and for which steps to ask for tickets; the starts are entered in the state.
 *
 * @example
 * const { starts, adviceRequests } = decide(state, inputs);
 */
export function decide<Slot>(state: CellState, inputs: DecisionInputs<Slot>): Decisions<Slot> {
  const { configuration, nowMs, evacuated } = inputs;
  const lookup = {
    queues: new Map(configuration.queues.map((queue) => [queue.name, queue])),
    organisations: new Map(configuration.organisations.map((each) => [each.name, each])),
  };
  const usable = [...state.workers.values()].filter((worker) =>
    isUsable(worker, { nowMs, evacuated }),
  );
  const decisions: Decisions<Slot> = {
    starts: [],
    adviceRequests: [],
    held: { limit: 0, room: 0, adviceSlot: 0, advicePending: 0, notAllowed: 0 },
  };
  const pass: Pass<Slot> = {
    ...inputs,
    state,
    lookup,
    usable,
    eligible: new Map(),
    isUrgent: true,
    withoutSlot: new Set(),
    shares: fairShares(state, configuration, usable),
    decisions,
  };
  const ranked = [...state.active]
    .flatMap((job) => readySteps(job, inputs.wallMs))
    .map((step) => ({
      step,
      rank: rankOf(step, termsOf(step.job, lookup.queues.get(step.job.accepted.queue)), nowMs),
    }))
    .sort((a, b) => compareRanks(a.rank, b.rank));
  Object.values(Urgency).forEach((urgency) => {
    const steps = ranked.filter(({ rank }) => rank.urgency === urgency).map(({ step }) => step);
    pass.isUrgent = urgency !== Urgency.TooLate;
    if (urgency === Urgency.TooLate) {
      placeTooLate(pass, steps);
      return;
    }
    placeSteps(pass, steps, true);
    placeSteps(pass, steps, false);
  });
  return decisions;
}
