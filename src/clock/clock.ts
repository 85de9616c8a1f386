/**
 * The clock that the program uses, and its implementation over the operating system.
 */
import { setTimeout as delay } from 'node:timers/promises';

/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970; for records that people read, never for safety. */
  wallTime(): number;
  /** Resolves after the time, or at once when the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** Calls back after the time, unless the function that it returns is called before. */
  startTimer(ms: number, callback: () => void): () => void;
}

/**
 * The operating system's clock.
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
      // An aborted sleep ends early; callers look at their own signal.
    }
  },
  startTimer(ms, callback) {
    const timeout = setTimeout(callback, ms);
    return () => clearTimeout(timeout);
  },
};
