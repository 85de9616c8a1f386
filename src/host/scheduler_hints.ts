/**
 * What the scheduler's heartbeat tells the entry processes about its load.
 */
import type { Heartbeat } from '../cell/mod.ts';
import type { Clock } from '../clock/mod.ts';

/** What the last heartbeat tells, while it is fresh. */
export interface SchedulerHints {
  /** The number of pending jobs in a queue; undefined if it is not known. */
  getPendingCount(queue: string): number | undefined;
  /** Whether a further job of the organisation in the queue is to be refused. */
  isOverloaded(queue: string, organisation: string): boolean;
}

const maxHeartbeatAgeMs = 1_900;

/**
 * Makes the hints from the heartbeats that this process sees.
 *
 * @example
 * const { isOverloaded } = makeSchedulerHints({ clock, heartbeat: leadership.heartbeat });
 */
export function makeSchedulerHints(options: {
  clock: Clock;
  heartbeat(): Heartbeat | undefined;
}): SchedulerHints {
  function getFreshHeartbeat(): Heartbeat | undefined {
    const heartbeat = options.heartbeat();
    const isFresh = heartbeat && options.clock.now() - heartbeat.seenAtMs <= maxHeartbeatAgeMs;
    return isFresh ? heartbeat : undefined;
  }
  return {
    getPendingCount(queue) {
      const pending = getFreshHeartbeat()?.pending;
      return pending && (pending[queue] ?? 0);
    },
    isOverloaded(queue, organisation) {
      const { busyQueues = [], beyondShare = [] } = getFreshHeartbeat() ?? {};
      return busyQueues.includes(queue) && beyondShare.includes(organisation);
    },
  };
}
