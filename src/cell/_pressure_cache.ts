/**
 * What is to be refused at present, worked out anew at most ten times a second.
 */
import { noPressure, computePressure } from '../scheduler/mod.ts';
import type { Pressure } from '../scheduler/mod.ts';
import type { Term } from './_term_state.ts';

/** The view. */
export interface PressureCache {
  current(): Pressure;
}

const refreshIntervalMs = 100;

/**
 * Makes the view of a term.
 *
 * @example
 * const { busyQueues } = pressure.current();
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
