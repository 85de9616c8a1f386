/**
 * What is to be refused at present, worked out anew at most ten times a second.
 */
import { noPressure, computePressure } from '../scheduler/mod.ts';
import type { Pressure } from '../scheduler/mod.ts';
import type { Term } from './_term_state.ts';

/** The view. */
export interface PressureView {
  current(): Pressure;
}

const refreshEveryMs = 100;

/**
 * Makes the view of a term.
 *
 * @example
 * const { busyQueues } = pressure.current();
 */
export function makePressureView({ state, clock, operatorState: wishes }: Term): PressureView {
  let pressure: Pressure = noPressure;
  let atMs = -Infinity;
  return {
    current() {
      const current = wishes();
      const nowMs = clock.now();
      if (current && nowMs - atMs >= refreshEveryMs) {
        atMs = nowMs;
        pressure = computePressure(state, current.configuration, nowMs);
      }
      return pressure;
    },
  };
}
