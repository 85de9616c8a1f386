/**
 * The steps whose turn has come, in the order in which a pass serves them.
 *
 * Load answered: a backlog of jobs that can only be late without worth. While many fresh jobs wait,
 * those are looked at a few times a second only, so that passes stay cheap.
 */
import { JobState } from '../model/mod.ts';
import { getOccurrenceCount, ensureSteps } from './jobs.ts';
import { compareRanks, computeRank, Urgency } from './rank.ts';
import type { Rank } from './rank.ts';
import { getQueueTerms } from './pass.ts';
import type { DecisionInputs, ConfigurationIndex } from './pass.ts';
import type { CellState, Job, Step } from './state.ts';

/** A job that can only be late without worth is looked at so often. */
const tooLateRetryMs = 100;
/** They are looked at in every pass while fewer jobs than this wait that still are worth something. */
const freshJobsThreshold = 10;

type PassTimes = Pick<DecisionInputs, 'nowMs' | 'wallMs'>;

function isDue(job: Job, occurrence: number, wallMs: number): boolean {
  const { repetition } = job.accepted.spec;
  return !repetition || wallMs >= repetition.startAtMs + occurrence * repetition.intervalMs;
}

/** Makes the objective of an occurrence count from the time at which it was due. */
function setObjectiveStart(job: Job, occurrence: number, { nowMs, wallMs }: PassTimes): void {
  const { repetition } = job.accepted.spec;
  if (!repetition || job.occurrences.has(occurrence)) return;
  const dueAtWallMs = repetition.startAtMs + occurrence * repetition.intervalMs;
  const objectiveStartMs = Math.max(job.acceptedAtMs, nowMs - (wallMs - dueAtWallMs));
  ensureSteps(job, occurrence).forEach((step) => {
    step.objectiveStartMs = objectiveStartMs;
  });
}

function listReadySteps(job: Job, times: PassTimes): Step[] {
  const ready: Step[] = [];
  for (let k = 0; k < getOccurrenceCount(job) && isDue(job, k, times.wallMs); k++) {
    setObjectiveStart(job, k, times);
    const steps = ensureSteps(job, k);
    const isReady = (step: Step) =>
      step.remainingTasks > 0 &&
      step.spec.after.every((number) => steps[number]?.remainingTasks === 0);
    ready.push(...steps.filter(isReady));
  }
  return ready;
}

/** The steps whose turn has come. */
export interface RankedSteps {
  /** By urgency; of each urgency in order, but those without worth. */
  steps: Record<Urgency, Step[]>;
  /** Jobs that wait and still are worth something. */
  freshJobCount: number;
  /** Jobs that have not begun and of which it was not noted before that they have no worth. */
  tooLate: Job[];
}

interface RankedStep {
  step: Step;
  rank: Rank;
}

function rankReadySteps(
  job: Job,
  { queues }: ConfigurationIndex,
  inputs: DecisionInputs,
): RankedStep[] {
  const terms = getQueueTerms(job, queues.get(job.accepted.queue));
  return listReadySteps(job, inputs).map((step) => ({
    step,
    rank: computeRank(step, terms, inputs.nowMs),
  }));
}

/** Whether nothing that is left of a job can be done while it is worth something. */
function isTooLate(job: Job, steps: RankedStep[]): boolean {
  if (job.accepted.spec.repetition || steps.length === 0) return false;
  return steps.every(({ rank }) => rank.urgency === Urgency.TooLate);
}

function sortByRank(steps: RankedStep[]): Step[] {
  return steps.sort((a, b) => compareRanks(a.rank, b.rank)).map(({ step }) => step);
}

/**
 * Ranks the steps of all jobs, of those that can only be late without worth not in every pass.
 *
 * @example
 * const { steps } = rankSteps(state, configurationIndex, inputs);
 * steps[Urgency.InTime].forEach(place);
 */
export function rankSteps(
  state: CellState,
  configurationIndex: ConfigurationIndex,
  inputs: DecisionInputs,
): RankedSteps {
  const ranked: Record<Urgency, RankedStep[]> = {
    [Urgency.InTime]: [],
    [Urgency.Late]: [],
    [Urgency.TooLate]: [],
  };
  let freshJobCount = 0;
  const tooLate: Job[] = [];
  function noteTooLate(job: Job): void {
    job.skipUntilMs = inputs.nowMs + tooLateRetryMs;
    if (!job.wait || job.wait.isTooLate) return;
    job.wait.isTooLate = true;
    tooLate.push(job);
  }
  function add(job: Job): void {
    const steps = rankReadySteps(job, configurationIndex, inputs);
    steps.forEach((each) => ranked[each.rank.urgency].push(each));
    if (isTooLate(job, steps)) noteTooLate(job);
    else if (job.state === JobState.Queued) freshJobCount += 1;
  }
  const skipped: Job[] = [];
  state.activeJobs.forEach((job) => {
    if (job.skipUntilMs > inputs.nowMs) skipped.push(job);
    else add(job);
  });
  if (freshJobCount < freshJobsThreshold) skipped.forEach(add);
  return {
    freshJobCount,
    tooLate,
    steps: {
      [Urgency.InTime]: sortByRank(ranked[Urgency.InTime]),
      [Urgency.Late]: sortByRank(ranked[Urgency.Late]),
      [Urgency.TooLate]: ranked[Urgency.TooLate].map(({ step }) => step),
    },
  };
}
