/**
 * A remembered monotonic time. The monotonic clock does not count the time for which the machine was
 * suspended, so that time is inferred from the wall clock: permissions must not outlive it.
 */
import type { Clock } from './clock.ts';

/** A remembered monotonic time. */
export interface TimeMark {
  record(atMs: number): void;
  /** The recorded time, moved back by later suspensions; undefined before the first record. */
  atMs(): number | undefined;
}

/** Smaller differences between the clocks are adjustments of the wall clock. */
const minSuspensionMs = 250;

/**
 * Makes a mark without a time.
 *
 * @example
 * const lastCurrent = makeTimeMark(clock);
 * lastCurrent.record(clock.now());
 */
export function makeTimeMark(clock: Pick<Clock, 'now' | 'wallTime'>): TimeMark {
  let recorded: { atMs: number; wallOffsetMs: number } | undefined;
  const wallOffsetMs = () => clock.wallTime() - clock.now();
  return {
    record(atMs) {
      recorded = { atMs, wallOffsetMs: wallOffsetMs() };
    },
    atMs() {
      if (!recorded) return undefined;
      const suspendedMs = wallOffsetMs() - recorded.wallOffsetMs;
      return suspendedMs > minSuspensionMs ? recorded.atMs - suspendedMs : recorded.atMs;
    },
  };
}
