/**
 * The steps that are ready to start, in the order in which a pass places them.
 *
 * A backlog of too-late jobs must not make passes expensive: while many fresh jobs, which are not too
 * late, are pending, too-late jobs are considered only a few times a second.
 */
import { JobState } from '../model/mod.ts';
import { ensureSteps, getOccurrenceCount, mayOpenOccurrence } from './jobs.ts';
import { findRange } from './_ranges.ts';
import { compareRanks, computeRank, Urgency } from './rank.ts';
import type { Rank } from './rank.ts';
import { getQueueTerms, guardJob } from './pass.ts';
import type { ConfigurationIndex, DecisionFailure, DecisionInputs } from './pass.ts';
import type { CellState, Job, Step } from './state.ts';

/** Interval at which a too-late job is considered. */
const tooLateRetryMs = 100;
/** Every pass considers too-late jobs while fewer fresh jobs than this are pending. */
const freshJobsThreshold = 10;

type PassTimes = Pick<DecisionInputs, 'nowMs' | 'wallMs'>;

function isDue(job: Job, occurrence: number, wallMs: number): boolean {
  const { repetition } = job.accepted.spec;
  return !repetition || wallMs >= repetition.startAtMs + occurrence * repetition.intervalMs;
}

/** Starts the objective of an occurrence at its due time. */
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
  for (
    let occurrence = 0;
    occurrence < getOccurrenceCount(job) && isDue(job, occurrence, times.wallMs);
    occurrence++
  ) {
    const completed = findRange(job.completedOccurrences, occurrence);
    if (completed) {
      [, occurrence] = completed;
      continue;
    }
    if (!job.occurrences.has(occurrence) && !mayOpenOccurrence(job)) break;
    setObjectiveStart(job, occurrence, times);
    const steps = ensureSteps(job, occurrence);
    const isReady = (step: Step) =>
      step.remainingTasks > 0 &&
      step.spec.after.every((stepIndex) => steps[stepIndex]?.remainingTasks === 0);
    ready.push(...steps.filter(isReady));
  }
  return ready;
}

/** The ready steps of a pass. */
export interface RankedSteps {
  /** By urgency; sorted by rank, except for the too-late steps. */
  steps: Record<Urgency, Step[]>;
  /** Number of pending jobs that are not too late. */
  freshJobCount: number;
  /** Jobs without any start that were found to be too late for the first time. */
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

/** Whether all ready steps of a job are too late; repeated jobs never are as a whole. */
function isTooLate(job: Job, steps: RankedStep[]): boolean {
  if (job.accepted.spec.repetition || steps.length === 0) return false;
  return steps.every(({ rank }) => rank.urgency === Urgency.TooLate);
}

function sortByRank(steps: RankedStep[]): Step[] {
  return steps.sort((a, b) => compareRanks(a.rank, b.rank)).map(({ step }) => step);
}

/**
 * Ranks the ready steps of all jobs, except for too-late jobs that were considered recently.
 *
 * @example
 * const { steps } = rankSteps(state, configurationIndex, inputs, failures);
 * steps[Urgency.InTime].forEach(place);
 */
export function rankSteps(
  state: CellState,
  configurationIndex: ConfigurationIndex,
  inputs: DecisionInputs,
  failures: DecisionFailure[],
): RankedSteps {
  const ranked: Record<Urgency, RankedStep[]> = {
    [Urgency.InTime]: [],
    [Urgency.Late]: [],
    [Urgency.TooLate]: [],
  };
  let freshJobCount = 0;
  const tooLate: Job[] = [];
  function markTooLate(job: Job): void {
    job.skipUntilMs = inputs.nowMs + tooLateRetryMs;
    if (!job.wait || job.wait.isTooLate) return;
    job.wait.isTooLate = true;
    tooLate.push(job);
  }
  function addRanked(job: Job): void {
    if (job.setAsideUntilMs > inputs.nowMs) return;
    const steps = guardJob({ failures }, { job, nowMs: inputs.nowMs }, () =>
      rankReadySteps(job, configurationIndex, inputs),
    );
    if (!steps) return;
    steps.forEach((rankedStep) => ranked[rankedStep.rank.urgency].push(rankedStep));
    if (isTooLate(job, steps)) markTooLate(job);
    else if (job.state === JobState.Queued) freshJobCount += 1;
  }
  const skipped: Job[] = [];
  state.activeJobs.forEach((job) => {
    if (job.skipUntilMs > inputs.nowMs) skipped.push(job);
    else addRanked(job);
  });
  if (freshJobCount < freshJobsThreshold) skipped.forEach(addRanked);
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
