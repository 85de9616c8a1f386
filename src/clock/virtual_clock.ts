/**
 * A clock that advances only on request. Randomised runs and tests use it, so that the same seed
 * reproduces a run exactly.
 */
import type { Clock } from './clock.ts';

interface Timer {
  dueMs: number;
  sequence: number;
  callback: () => void;
}

/** A clock that a test controls. */
export interface VirtualClock extends Clock {
  /** Runs all timers due within the time, in order, and lets promises settle after each. */
  advance(ms: number): Promise<void>;
  /** Returns the number of active timers. */
  countTimers(): number;
}

/**
 * Makes a virtual clock, which starts at zero by default.
 *
 * @example
 * const clock = makeVirtualClock();
 * const done = clock.sleep(100);
 * await clock.advance(100);
 * await done;
 */
export function makeVirtualClock({ startMs = 0 }: { startMs?: number } = {}): VirtualClock {
  let nowMs = startMs;
  let lastSequence = 0;
  let timers: Timer[] = [];

  function addTimer(ms: number, callback: () => void): () => void {
    lastSequence += 1;
    const timer: Timer = { dueMs: nowMs + Math.max(0, ms), sequence: lastSequence, callback };
    timers.push(timer);
    return () => {
      timers = timers.filter((other) => other !== timer);
    };
  }

  const settlePromises = async () => {
    // setImmediate runs after all promise jobs, so one turn completes chains of awaits.
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  };

  return {
    now: () => nowMs,
    wallTime: () => 1_700_000_000_000 + nowMs,
    countTimers: () => timers.length,
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
      const end = nowMs + ms;
      await settlePromises();
      for (;;) {
        let next: Timer | undefined;
        timers.forEach((timer) => {
          if (timer.dueMs > end) return;
          if (
            !next ||
            timer.dueMs < next.dueMs ||
            (timer.dueMs === next.dueMs && timer.sequence < next.sequence)
          ) {
            next = timer;
          }
        });
        if (!next) break;
        const due = next;
        timers = timers.filter((timer) => timer !== due);
        nowMs = Math.max(nowMs, due.dueMs);
        due.callback();
        await settlePromises();
      }
      nowMs = end;
    },
  };
}
