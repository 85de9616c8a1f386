/**
 * The life cycle of a process as a member, as a state machine.
 */
import { createMachine, interpret, state, transition } from 'robot3';

import { Phase } from './membership.ts';

/** What moves a process from one phase to the next. */
export const LifecycleEvent = {
  Joined: 'joined',
  SeenByAll: 'seen-by-all',
  Drain: 'drain',
  Leave: 'leave',
  Expel: 'expel',
  Rejoin: 'rejoin',
} as const;

/** One of the values of {@link LifecycleEvent}. */
export type LifecycleEvent = (typeof LifecycleEvent)[keyof typeof LifecycleEvent];

const expelled = transition(LifecycleEvent.Expel, Phase.Expelled);
const drain = transition(LifecycleEvent.Drain, Phase.Draining);

const machine = createMachine(Phase.Joining, {
  [Phase.Joining]: state(
    transition(LifecycleEvent.Joined, Phase.Provisional),
    transition(LifecycleEvent.Leave, Phase.Left),
  ),
  [Phase.Provisional]: state(transition(LifecycleEvent.SeenByAll, Phase.Full), drain, expelled),
  [Phase.Full]: state(drain, expelled),
  [Phase.Draining]: state(transition(LifecycleEvent.Leave, Phase.Left), expelled),
  [Phase.Expelled]: state(
    transition(LifecycleEvent.Rejoin, Phase.Joining),
    transition(LifecycleEvent.Leave, Phase.Left),
  ),
  [Phase.Left]: state(),
});

/** The phase of one process. */
export interface Lifecycle {
  phase(): Phase;
  /** An event that the present phase does not know is ignored. */
  send(event: LifecycleEvent): void;
}

/**
 * Makes the life cycle of a process that is about to join.
 *
 * @example
 * const lifecycle = makeLifecycle();
 * lifecycle.send(LifeEvent.Joined);
 */
export function makeLifecycle(): Lifecycle {
  const service = interpret(machine, () => undefined);
  return {
    phase: () => service.machine.current as Phase,
    send: (event) => {
      service.send(event);
    },
  };
}
