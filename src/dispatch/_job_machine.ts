/**
 * State machine of a job.
 */
import { createMachine, interpret, state, transition } from 'robot3';

import type { Job } from '../schema/mod.ts';

/** Events that change the state of a job. */
export const JobEvent = {
  Start: 'start',
  Wait: 'wait',
  Finish: 'finish',
  Fail: 'fail',
  Cancel: 'cancel',
} as const;

/** One of the values of {@link JobEvent}. */
export type JobEvent = (typeof JobEvent)[keyof typeof JobEvent];

const endTransitions = [
  transition(JobEvent.Finish, 'finished'),
  transition(JobEvent.Fail, 'failed'),
  transition(JobEvent.Cancel, 'cancelled'),
];

const states = {
  waiting: state(transition(JobEvent.Start, 'running'), ...endTransitions),
  running: state(transition(JobEvent.Wait, 'waiting'), ...endTransitions),
  finished: state(),
  failed: state(),
  cancelled: state(),
};

/**
 * Returns the state after an event. An event without a transition leaves the state unchanged.
 *
 * @example
 * nextJobState('finished', JobEvent.Cancel); // 'finished'
 */
export function nextJobState(from: Job['state'], event: JobEvent): Job['state'] {
  const service = interpret(createMachine(from, states), () => undefined);
  service.send(event);
  return service.machine.current as Job['state'];
}

/**
 * Returns true when the job is in a final state.
 *
 * @example
 * isEnded({ state: 'cancelled' }); // true
 */
export function isEnded({ state: current }: Pick<Job, 'state'>): boolean {
  return states[current].final;
}
