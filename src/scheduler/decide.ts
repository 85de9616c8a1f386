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
import { Urgency } from './rank.ts';
import { HoldReason, recordHold } from './pass.ts';
import type { DecisionInputs, Decisions, Pass } from './pass.ts';
import { placeStep } from './_place_step.ts';
import { rankSteps } from './_ready_steps.ts';
import { isSchedulable } from './placement.ts';
import { computeFairShares } from './shares.ts';
import type { CellState, Step } from './state.ts';

/** Steps without worth that a pass tries to place. */
const maxTooLateAttempts = 24;

function placeSteps(pass: Pass, steps: Step[], isWithinShare: boolean): void {
  steps.forEach((step) => {
    const reason = placeStep(pass, step, isWithinShare);
    if (reason !== undefined) recordHold(pass, step.job, reason);
  });
}

/**
 * Tries to place a few of the steps that can only be late without worth, those first that were not
 * tried for longest, so that one that nothing can run does not hold back the others.
 */
function placeTooLateSteps(pass: Pass, steps: Step[]): void {
  const inTurn = [...steps].sort((a, b) => a.lastTriedAtMs - b.lastTriedAtMs);
  let tried = 0;
  for (const step of inTurn) {
    const reason = placeStep(pass, step, false);
    if (reason !== undefined) recordHold(pass, step.job, reason);
    if (reason === undefined || reason === HoldReason.Room) {
      step.lastTriedAtMs = pass.nowMs;
      tried += 1;
    }
    if (tried >= maxTooLateAttempts) return;
  }
}

/**
 * Decides what to start and for which steps to ask for tickets; the starts are entered in the state.
 *
 * @example
 * const { starts, adviceRequests } = decide(state, inputs);
 */
export function decideStarts<Slot>(
  state: CellState,
  inputs: DecisionInputs<Slot>,
): Decisions<Slot> {
  const { configuration, nowMs, evacuated } = inputs;
  const configurationIndex = {
    queues: new Map(configuration.queues.map((queue) => [queue.name, queue])),
    organisations: new Map(configuration.organisations.map((each) => [each.name, each])),
  };
  const schedulable = [...state.workers.values()].filter((worker) =>
    isSchedulable(worker, { nowMs, evacuated }),
  );
  const decisions: Decisions<Slot> = {
    starts: [],
    tooLate: [],
    adviceRequests: [],
    held: { limit: 0, share: 0, room: 0, adviceSlot: 0, advicePending: 0, notAllowed: 0 },
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
  const { steps, freshJobCount, tooLate } = rankSteps(state, configurationIndex, inputs);
  decisions.tooLate = tooLate;
  [Urgency.InTime, Urgency.Late].forEach((urgency) => {
    placeSteps(pass, steps[urgency], true);
    placeSteps(pass, steps[urgency], false);
  });
  pass.isUrgent = freshJobCount === 0;
  placeTooLateSteps(pass, steps[Urgency.TooLate]);
  return decisions;
}
