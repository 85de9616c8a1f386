/**
 * The clock interface, and its implementation with the system clock.
 */

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
  // Unlike that of `node:timers/promises`, an aborted sleep creates no error, which would cost more.
  sleep: (ms, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timeout = setTimeout(finish, ms);
      function finish(): void {
        clearTimeout(timeout);
        signal?.removeEventListener('abort', finish);
        resolve();
      }
      signal?.addEventListener('abort', finish);
    }),
  startTimer(ms, callback) {
    const timeout = setTimeout(callback, ms);
    return () => clearTimeout(timeout);
  },
};
