/**
 * The membership life cycle of a process as a state machine.
 */
import { createMachine, interpret, state, transition } from 'robot3';

import { Phase } from './membership.ts';

/** Events that move a process from one phase to another. */
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

/** The life cycle of one process. */
export interface Lifecycle {
  phase(): Phase;
  /** Sends an event; one without a transition from the current phase is ignored. */
  send(event: LifecycleEvent): void;
}

/**
 * Makes the life cycle of a process that has not joined yet.
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
