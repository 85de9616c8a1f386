/**
 * Caches the pressure, which determines the jobs to refuse; recomputes it at most ten times a second.
 */
import { noPressure, computePressure } from '../scheduler/mod.ts';
import type { Pressure } from '../scheduler/mod.ts';
import type { Term } from './_term_state.ts';

/** Gives the pressure without recomputing it on each call. */
export interface PressureCache {
  current(): Pressure;
}

const refreshIntervalMs = 100;

/**
 * Makes the pressure cache of a term.
 *
 * @example
 * const { busyQueues } = pressureCache.current();
 */
export function makePressureCache({ state, clock, operatorState }: Term): PressureCache {
  let pressure: Pressure = noPressure;
  let computedAtMs = -Infinity;
  return {
    current() {
      const current = operatorState();
      const nowMs = clock.now();
      if (current && nowMs - computedAtMs >= refreshIntervalMs) {
        computedAtMs = nowMs;
        pressure = computePressure(state, current.configuration, nowMs);
      }
      return pressure;
    },
  };
}
