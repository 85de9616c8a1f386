/**
 * State machine of an attempt, which is recorded as starting and ends exactly once.
 */
import { createMachine, interpret, state, transition } from 'robot3';

import type { Attempt } from '../schema/mod.ts';

/** Events that change the state of an attempt. */
export const AttemptEvent = {
  Confirm: 'confirm',
  Finish: 'finished',
  Fail: 'failed',
  Stop: 'stopped',
  Lose: 'lost',
} as const;

/** One of the values of {@link AttemptEvent}. */
export type AttemptEvent = (typeof AttemptEvent)[keyof typeof AttemptEvent];

const endTransitions = [
  transition(AttemptEvent.Finish, 'finished'),
  transition(AttemptEvent.Fail, 'failed'),
  transition(AttemptEvent.Stop, 'stopped'),
  transition(AttemptEvent.Lose, 'lost'),
];

const states = {
  starting: state(transition(AttemptEvent.Confirm, 'running'), ...endTransitions),
  running: state(...endTransitions),
  finished: state(),
  failed: state(),
  stopped: state(),
  lost: state(),
};

/**
 * Returns the state after an event. An ended attempt keeps its state.
 *
 * @example
 * nextAttemptState('starting', AttemptEvent.Confirm); // 'running'
 */
export function nextAttemptState(from: Attempt['state'], event: AttemptEvent): Attempt['state'] {
  const service = interpret(createMachine(from, states), () => undefined);
  service.send(event);
  return service.machine.current as Attempt['state'];
}

/**
 * Returns true while the attempt may still be running.
 *
 * @example
 * isActive({ state: 'starting' }); // true
 */
export function isActive({ state: current }: Pick<Attempt, 'state'>): boolean {
  return !states[current].final;
}
