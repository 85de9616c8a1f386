/**
 * How candidates are grouped and compared: by fit for heavy work, by expected delay for lookups.
 */
import type { Size } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { plus } from './_size.ts';

/** Groups of a fit or delay level: plain workers, workers with accelerators, doubtful workers. */
export const groups = 3;

/** Levels of free room (fit) or delay. */
export const levels = 8;

/** Group of a worker; work that needs no accelerator takes group 1 only after group 0. */
export function groupOf({ capacity, penalty }: Candidate): number {
  if (penalty > 0) return 2;
  return capacity.accelerators > 0 ? 1 : 0;
}

/** Level by free room: 0 for nearly full workers, which best fit tries first. */
export function fitLevel({ capacity, used }: Candidate): number {
  const free = plus(capacity, used, -1);
  const part = Math.min(
    capacity.processors > 0 ? free.processors / capacity.processors : 1,
    capacity.memoryMb > 0 ? free.memoryMb / capacity.memoryMb : 1,
    capacity.slots > 0 ? free.slots / capacity.slots : 1,
  );
  return Math.max(0, Math.min(levels - 1, Math.floor(part * levels)));
}

/** Expected delay of one more lookup: work in progress times recent latency, in milliseconds. */
export function expectedDelay({ outstanding, latencyMs, penalty }: Candidate): number {
  return (outstanding + 1) * Math.max(1, latencyMs) * (1 + 8 * penalty);
}

// Level 0 is below 16 ms; each further level is four times as long, so level 7 begins at 65 s.
const firstDelayMs = 16;

/** Level by expected delay: 0 for the quickest. */
export function delayLevel(candidate: Candidate): number {
  const ratio = expectedDelay(candidate) / firstDelayMs;
  if (ratio < 1) return 0;
  return Math.min(levels - 1, 1 + Math.floor(Math.log2(ratio) / 2));
}

/**
 * Cost of placing a size on a worker, lower is better: what is left of the scarcest resource
 * decides little, an uneven rest decides much, because an uneven rest cannot be used.
 */
export function fitCost({ capacity, used }: Candidate, size: Size): number {
  let low = 1;
  let high = 0;
  let sum = 0;
  let count = 0;
  const look = (cap: number, taken: number) => {
    if (cap <= 0) return;
    const left = (cap - taken) / cap;
    low = Math.min(low, left);
    high = Math.max(high, left);
    sum += left;
    count += 1;
  };
  look(capacity.processors, used.processors + size.processors);
  look(capacity.memoryMb, used.memoryMb + size.memoryMb);
  look(capacity.slots, used.slots + size.slots);
  return high - low + sum / Math.max(1, count);
}
