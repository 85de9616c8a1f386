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
import { JobState } from '../model/mod.ts';
import { occurrenceCount, stepsOf } from './jobs.ts';
import { compareRanks, rankOf, Urgency } from './order.ts';
import type { Rank } from './order.ts';
import { HoldReason, termsOf } from './pass.ts';
import type { DecisionInputs, Decisions, Lookup, Pass } from './pass.ts';
import { placeStep } from './_place_step.ts';
import { isUsable } from './placement.ts';
import { fairShares } from './shares.ts';
import type { CellState, Job, Step } from './state.ts';

/** A job that can only be late without worth is looked at so often. */
const lateRetryMs = 100;
/** They are looked at in every pass while fewer jobs than this wait that still are worth something. */
const manyFresh = 10;
/** Steps without worth that a pass tries to place. */
const maxTooLateTried = 24;

type Times = Pick<DecisionInputs, 'nowMs' | 'wallMs'>;

function isDue(job: Job, occurrence: number, wallMs: number): boolean {
  const { repetition } = job.accepted.spec;
  return !repetition || wallMs >= repetition.startAtMs + occurrence * repetition.intervalMs;
}

/** Makes the objective of an occurrence count from the time at which it was due. */
function noteDueTime(job: Job, occurrence: number, { nowMs, wallMs }: Times): void {
  const { repetition } = job.accepted.spec;
  if (!repetition || job.occurrences.has(occurrence)) return;
  const dueAtWallMs = repetition.startAtMs + occurrence * repetition.intervalMs;
  const sinceMs = Math.max(job.acceptedAtMs, nowMs - (wallMs - dueAtWallMs));
  stepsOf(job, occurrence).forEach((step) => {
    step.sinceMs = sinceMs;
  });
}

function readySteps(job: Job, times: Times): Step[] {
  const ready: Step[] = [];
  for (let k = 0; k < occurrenceCount(job) && isDue(job, k, times.wallMs); k++) {
    noteDueTime(job, k, times);
    const steps = stepsOf(job, k);
    const isReady = (step: Step) =>
      step.remaining > 0 && step.spec.after.every((number) => steps[number]?.remaining === 0);
    ready.push(...steps.filter(isReady));
  }
  return ready;
}

/** The steps whose turn has come. */
interface RankedSteps {
  steps: Record<Urgency, Step[]>;
  /** Jobs that wait and still are worth something. */
  freshJobs: number;
}

/** The steps whose turn has come, by urgency; of each urgency in order, but those without worth. */
function rankSteps(state: CellState, { queues }: Lookup, inputs: DecisionInputs): RankedSteps {
  const ranked: Record<Urgency, { step: Step; rank: Rank }[]> = {
    [Urgency.InTime]: [],
    [Urgency.Late]: [],
    [Urgency.TooLate]: [],
  };
  let freshJobs = 0;
  function rankJob(job: Job): void {
    const steps = readySteps(job, inputs).map((step) => ({
      step,
      rank: rankOf(step, termsOf(job, queues.get(job.accepted.queue)), inputs.nowMs),
    }));
    steps.forEach((each) => ranked[each.rank.urgency].push(each));
    const isTooLate =
      steps.length > 0 && steps.every(({ rank }) => rank.urgency === Urgency.TooLate);
    if (isTooLate && !job.accepted.spec.repetition) {
      job.skippedUntilMs = inputs.nowMs + lateRetryMs;
    } else if (job.state === JobState.Queued) {
      freshJobs += 1;
    }
  }
  const skipped: Job[] = [];
  state.active.forEach((job) => {
    if (job.skippedUntilMs > inputs.nowMs) skipped.push(job);
    else rankJob(job);
  });
  if (freshJobs < manyFresh) skipped.forEach(rankJob);
  const stepsOfUrgency = (urgency: Urgency) => ranked[urgency].map(({ step }) => step);
  ranked[Urgency.InTime].sort((a, b) => compareRanks(a.rank, b.rank));
  ranked[Urgency.Late].sort((a, b) => compareRanks(a.rank, b.rank));
  return {
    freshJobs,
    steps: {
      [Urgency.InTime]: stepsOfUrgency(Urgency.InTime),
      [Urgency.Late]: stepsOfUrgency(Urgency.Late),
      [Urgency.TooLate]: stepsOfUrgency(Urgency.TooLate),
    },
  };
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
    held: { limit: 0, share: 0, room: 0, adviceSlot: 0, advicePending: 0, notAllowed: 0 },
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
  const { steps, freshJobs } = rankSteps(state, lookup, inputs);
  [Urgency.InTime, Urgency.Late].forEach((urgency) => {
    placeSteps(pass, steps[urgency], true);
    placeSteps(pass, steps[urgency], false);
  });
  pass.isUrgent = freshJobs === 0;
  placeTooLate(pass, steps[Urgency.TooLate]);
  return decisions;
}
