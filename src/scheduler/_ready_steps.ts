/**
 * The steps whose turn has come, in the order in which a pass serves them.
 *
 * Load answered: a backlog of jobs that can only be late without worth. While many fresh jobs wait,
 * those are looked at a few times a second only, so that passes stay cheap.
 */
import { JobState } from '../model/mod.ts';
import { occurrenceCount, stepsOf } from './jobs.ts';
import { compareRanks, rankOf, Urgency } from './rank.ts';
import type { Rank } from './rank.ts';
import { getQueueTerms } from './pass.ts';
import type { DecisionInputs, Lookup } from './pass.ts';
import type { CellState, Job, Step } from './state.ts';

/** A job that can only be late without worth is looked at so often. */
const lateRetryMs = 100;
/** They are looked at in every pass while fewer jobs than this wait that still are worth something. */
const manyFresh = 10;

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
export interface RankedSteps {
  /** By urgency; of each urgency in order, but those without worth. */
  steps: Record<Urgency, Step[]>;
  /** Jobs that wait and still are worth something. */
  freshJobs: number;
  /** Jobs that have not begun and of which it was not noted before that they have no worth. */
  tooLate: Job[];
}

interface RankedStep {
  step: Step;
  rank: Rank;
}

function rankJob(job: Job, { queues }: Lookup, inputs: DecisionInputs): RankedStep[] {
  const terms = getQueueTerms(job, queues.get(job.accepted.queue));
  return readySteps(job, inputs).map((step) => ({
    step,
    rank: rankOf(step, terms, inputs.nowMs),
  }));
}

/** Whether nothing that is left of a job can be done while it is worth something. */
function isTooLate(job: Job, steps: RankedStep[]): boolean {
  if (job.accepted.spec.repetition || steps.length === 0) return false;
  return steps.every(({ rank }) => rank.urgency === Urgency.TooLate);
}

function inOrder(steps: RankedStep[]): Step[] {
  return steps.sort((a, b) => compareRanks(a.rank, b.rank)).map(({ step }) => step);
}

/**
 * Ranks the steps of all jobs, of those that can only be late without worth not in every pass.
 *
 * @example
 * const { steps } = rankSteps(state, lookup, inputs);
 * steps[Urgency.InTime].forEach(place);
 */
export function rankSteps(state: CellState, lookup: Lookup, inputs: DecisionInputs): RankedSteps {
  const ranked: Record<Urgency, RankedStep[]> = {
    [Urgency.InTime]: [],
    [Urgency.Late]: [],
    [Urgency.TooLate]: [],
  };
  let freshJobs = 0;
  const tooLate: Job[] = [];
  function noteTooLate(job: Job): void {
    job.skippedUntilMs = inputs.nowMs + lateRetryMs;
    if (!job.wait || job.wait.isTooLate) return;
    job.wait.isTooLate = true;
    tooLate.push(job);
  }
  function add(job: Job): void {
    const steps = rankJob(job, lookup, inputs);
    steps.forEach((each) => ranked[each.rank.urgency].push(each));
    if (isTooLate(job, steps)) noteTooLate(job);
    else if (job.state === JobState.Queued) freshJobs += 1;
  }
  const skipped: Job[] = [];
  state.activeJobs.forEach((job) => {
    if (job.skippedUntilMs > inputs.nowMs) skipped.push(job);
    else add(job);
  });
  if (freshJobs < manyFresh) skipped.forEach(add);
  return {
    freshJobs,
    tooLate,
    steps: {
      [Urgency.InTime]: inOrder(ranked[Urgency.InTime]),
      [Urgency.Late]: inOrder(ranked[Urgency.Late]),
      [Urgency.TooLate]: ranked[Urgency.TooLate].map(({ step }) => step),
    },
  };
}
