/**
 * Conditions of a start that may change between its decision and each time that its order is sent: the
 * order waits for the store first, and it is sent again for as long as there is no response.
 */
import { isStartWithinLimit } from '../scheduler/mod.ts';
import type { Run, Worker } from '../scheduler/mod.ts';
import type { Term } from './_term_state.ts';

/** Why a start order is not sent. */
export const StartObstacle = {
  /** The operator state may be stale, so that the other conditions are not known. */
  Stale: 'stale',
  Draining: 'draining',
  Evacuated: 'evacuated',
  /** The queue has another service now. */
  Service: 'service',
  /** The organisation's upper limit was lowered below what runs and is ordered. */
  Limit: 'limit',
} as const;

/** One of the values of {@link StartObstacle}. */
export type StartObstacle = (typeof StartObstacle)[keyof typeof StartObstacle];

/** A scheduler whose operator state is older starts nothing. */
export const maxOperatorStateAgeMs = 1_700;

/**
 * Returns why the start order of a run must not be sent now; undefined if it may be.
 *
 * @example
 * if (findStartObstacle(term, run, worker) === undefined) await workers.start(worker.entry, order);
 */
export function findStartObstacle(
  { state, clock, operatorState }: Pick<Term, 'state' | 'clock' | 'operatorState'>,
  run: Run,
  { entry }: Worker,
): StartObstacle | undefined {
  const current = operatorState();
  if (!current || clock.now() - current.currentAtMs > maxOperatorStateAgeMs) {
    return StartObstacle.Stale;
  }
  const { queue: queueName, organisation: organisationName } = run.step.job.accepted;
  const { queues, organisations } = current.configuration;
  const queue = queues.find(({ name }) => name === queueName);
  const organisation = organisations.find(({ name }) => name === organisationName);
  if (entry.isDraining) return StartObstacle.Draining;
  if (current.evacuated.has(entry.dataCentre)) return StartObstacle.Evacuated;
  if (queue && queue.service !== entry.service) return StartObstacle.Service;
  return isStartWithinLimit(run.step, state.usage.get(organisationName), organisation?.upperLimit)
    ? undefined
    : StartObstacle.Limit;
}
