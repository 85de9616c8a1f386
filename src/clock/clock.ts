/**
 * The clock interface, and its implementation with the system clock.
 */
import { setTimeout as delay } from 'node:timers/promises';

/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; for records only, never for correctness. */
  wallTime(): number;
  /** Resolves after the time has passed, or as soon as the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls the callback after the time has passed; the returned function cancels the timer. */
  startTimer(ms: number, callback: () => void): () => void;
}

/**
 * The system clock.
 *
 * @example
 * await systemClock.sleep(50);
 */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  async sleep(ms, signal) {
    try {
      await delay(ms, undefined, { signal });
    } catch {
      // An aborted sleep resolves early; callers check their own signal.
    }
  },
  startTimer(ms, callback) {
    const timeout = setTimeout(callback, ms);
    return () => clearTimeout(timeout);
  },
};
