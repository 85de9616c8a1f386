/**
 * Decides what to start next: a pass over all ready steps in order of rank, which places their tasks
 * on workers and selects the steps for which tickets are requested.
 *
 * Under overload, steps of higher rank get capacity first, and a step that requests tickets for allowed
 * workers reserves its capacity against later work. Advice requests are made only for steps that have
 * capacity, and only while a slot is free, so that they do not queue at the service. To keep a pass
 * over a backlog of a thousand jobs cheap, steps that cannot be placed for a reason that holds for
 * their whole queue or organisation are skipped at once, and only a few of the too-late steps are
 * tried.
 */
import { Urgency } from './rank.ts';
import { guardJob, HoldReason, recordHold } from './pass.ts';
import type { DecisionInputs, Decisions, Pass } from './pass.ts';
import { placeStep } from './_place_step.ts';
import { rankSteps } from './_ranking.ts';
import { isSchedulable } from './placement.ts';
import { releaseUnusedReservations } from './resource_accounting.ts';
import { computeFairShares } from './shares.ts';
import type { CellState, Step } from './state.ts';

/** Maximum number of too-late steps that a pass tries to place. */
const maxTooLateAttempts = 24;

function tryPlaceStep(pass: Pass, step: Step, isLimitedToShare: boolean): HoldReason | undefined {
  const { job } = step;
  if (job.setAsideUntilMs > pass.nowMs) return undefined;
  return guardJob(pass.decisions, { job, nowMs: pass.nowMs }, () =>
    placeStep(pass, step, isLimitedToShare),
  );
}

function placeSteps(pass: Pass, steps: Step[], isLimitedToShare: boolean): void {
  steps.forEach((step) => {
    const reason = tryPlaceStep(pass, step, isLimitedToShare);
    if (reason !== undefined) recordHold(pass, step.job, reason);
  });
}

/**
 * Tries to place a few of the too-late steps, least recently tried first, so that steps that no worker
 * can run do not block the others.
 */
function placeTooLateSteps(pass: Pass, steps: Step[]): void {
  const leastRecentFirst = [...steps].sort((a, b) => a.lastTriedAtMs - b.lastTriedAtMs);
  let triedCount = 0;
  for (const step of leastRecentFirst) {
    const reason = tryPlaceStep(pass, step, false);
    if (reason !== undefined) recordHold(pass, step.job, reason);
    if (reason === undefined || reason === HoldReason.Room) {
      step.lastTriedAtMs = pass.nowMs;
      triedCount += 1;
    }
    if (triedCount >= maxTooLateAttempts) return;
  }
}

/**
 * Decides what to start and for which steps to request tickets, and adds the new runs to the state.
 *
 * @example
 * const { starts, adviceRequests } = decideStarts(state, inputs);
 */
export function decideStarts<Slot>(
  state: CellState,
  inputs: DecisionInputs<Slot>,
): Decisions<Slot> {
  const { configuration, nowMs, evacuated } = inputs;
  const configurationIndex = {
    queues: new Map(configuration.queues.map((queue) => [queue.name, queue])),
    organisations: new Map(
      configuration.organisations.map((organisation) => [organisation.name, organisation]),
    ),
  };
  const schedulable = [...state.workers.values()].filter((worker) =>
    isSchedulable(worker, { nowMs, evacuated }),
  );
  const decisions: Decisions<Slot> = {
    starts: [],
    tooLate: [],
    adviceRequests: [],
    failures: [],
    held: {
      limit: 0,
      share: 0,
      jobSize: 0,
      room: 0,
      adviceSlot: 0,
      advicePending: 0,
      notAllowed: 0,
    },
  };
  const pass: Pass<Slot> = {
    ...inputs,
    state,
    configurationIndex,
    schedulable,
    eligible: new Map(),
    isUrgent: true,
    queuesWithoutSlot: new Set(),
    shares: computeFairShares(state, configuration, schedulable),
    decisions,
  };
  const { steps, freshJobCount, tooLate } = rankSteps(
    state,
    configurationIndex,
    inputs,
    decisions.failures,
  );
  decisions.tooLate = tooLate;
  [Urgency.InTime, Urgency.Late].forEach((urgency) => {
    placeSteps(pass, steps[urgency], true);
    placeSteps(pass, steps[urgency], false);
  });
  pass.isUrgent = freshJobCount === 0;
  placeTooLateSteps(pass, steps[Urgency.TooLate]);
  // A late pass still gives each step the capacity that is reserved for it.
  releaseUnusedReservations(state, nowMs);
  return decisions;
}
