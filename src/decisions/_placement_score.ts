/**
 * Scores by which candidate workers are grouped and compared: best fit for jobs, expected delay for
 * lookups.
 */
import type { Size } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { addScaled } from './_size.ts';

/** Number of groups in a level: workers without accelerators, with accelerators, and penalised. */
export const groupCount = 3;

/** Number of levels of free capacity or delay. */
export const levelCount = 8;

/** Returns the group of a worker. Group 1 keeps accelerators for the work that needs them. */
export function getWorkerGroup({ capacity, penalty }: Candidate): number {
  if (penalty > 0) return 2;
  return capacity.accelerators > 0 ? 1 : 0;
}

/** Returns the level by free capacity: 0 for nearly full workers, which best fit tries first. */
export function computeFitLevel({ capacity, used }: Candidate): number {
  const free = addScaled(capacity, used, -1);
  const freeFraction = Math.min(
    capacity.processors > 0 ? free.processors / capacity.processors : 1,
    capacity.memoryMb > 0 ? free.memoryMb / capacity.memoryMb : 1,
    capacity.slots > 0 ? free.slots / capacity.slots : 1,
  );
  return Math.max(0, Math.min(levelCount - 1, Math.floor(freeFraction * levelCount)));
}

/** Estimates the delay of one more lookup: lookups in progress times recent latency. */
export function estimateDelayMs({ outstanding, latencyMs, penalty }: Candidate): number {
  return (outstanding + 1) * Math.max(1, latencyMs) * (1 + 8 * penalty);
}

// Level 0 is below 16 ms. Each further level is four times as wide, so level 7 begins at 65 s.
const minLevelDelayMs = 16;

/** Returns the level by expected delay: 0 for the shortest. */
export function computeDelayLevel(candidate: Candidate): number {
  const ratio = estimateDelayMs(candidate) / minLevelDelayMs;
  if (ratio < 1) return 0;
  return Math.min(levelCount - 1, 1 + Math.floor(Math.log2(ratio) / 2));
}

/**
 * Returns the cost of placing a size on a worker; lower is better. It adds the mean free fraction
 * that remains and the imbalance between the resources, because unbalanced capacity cannot be used.
 */
export function computeFitCost({ capacity, used }: Candidate, size: Size): number {
  let minFraction = 1;
  let maxFraction = 0;
  let fractionSum = 0;
  let resourceCount = 0;
  const addResource = (total: number, usedAmount: number) => {
    if (total <= 0) return;
    const remainingFraction = (total - usedAmount) / total;
    minFraction = Math.min(minFraction, remainingFraction);
    maxFraction = Math.max(maxFraction, remainingFraction);
    fractionSum += remainingFraction;
    resourceCount += 1;
  };
  addResource(capacity.processors, used.processors + size.processors);
  addResource(capacity.memoryMb, used.memoryMb + size.memoryMb);
  addResource(capacity.slots, used.slots + size.slots);
  return maxFraction - minFraction + fractionSum / Math.max(1, resourceCount);
}
