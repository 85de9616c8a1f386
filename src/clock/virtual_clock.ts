/**
 * A clock that only moves when told to. Randomised runs and tests use it, so that a seed replays a
 * run exactly.
 */
import type { Clock } from './clock.ts';

interface Timer {
  at: number;
  order: number;
  fire: () => void;
}

/** A clock under the control of a test. */
export interface VirtualClock extends Clock {
  /** Runs all timers that are due within the time, in order, letting promises settle in between. */
  advance(ms: number): Promise<void>;
  /** Number of timers that wait. */
  pending(): number;
}

/**
 * Makes a virtual clock that starts at zero.
 *
 * @example
 * const clock = makeVirtualClock();
 * const done = clock.sleep(100);
 * await clock.advance(100);
 * await done;
 */
export function makeVirtualClock({ start = 0 }: { start?: number } = {}): VirtualClock {
  let now = start;
  let order = 0;
  let timers: Timer[] = [];

  function addTimer(ms: number, fire: () => void): () => void {
    order += 1;
    const timer: Timer = { at: now + Math.max(0, ms), order, fire };
    timers.push(timer);
    return () => {
      timers = timers.filter((other) => other !== timer);
    };
  }

  const settle = async () => {
    // setImmediate runs after every promise job, so one turn lets chains of awaits finish.
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  };

  return {
    now: () => now,
    wallTime: () => 1_700_000_000_000 + now,
    pending: () => timers.length,
    sleep(ms, signal) {
      if (signal?.aborted) return Promise.resolve();
      return new Promise((resolve) => {
        let cancel = () => undefined as void;
        const end = () => {
          cancel();
          signal?.removeEventListener('abort', end);
          resolve();
        };
        cancel = addTimer(ms, end);
        signal?.addEventListener('abort', end);
      });
    },
    startTimer: addTimer,
    async advance(ms) {
      const end = now + ms;
      await settle();
      for (;;) {
        let next: Timer | undefined;
        timers.forEach((timer) => {
          if (timer.at > end) return;
          if (!next || timer.at < next.at || (timer.at === next.at && timer.order < next.order)) {
            next = timer;
          }
        });
        if (!next) break;
        const due = next;
        timers = timers.filter((timer) => timer !== due);
        now = Math.max(now, due.at);
        due.fire();
        await settle();
      }
      now = end;
    },
  };
}
