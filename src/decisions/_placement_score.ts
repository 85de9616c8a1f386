/**
 * How candidates are grouped and compared: by fit for heavy work, by expected delay for lookups.
 */
import type { Size } from '../schema/mod.ts';
import type { Candidate } from './placement.ts';
import { addScaled } from './_size.ts';

/** Groups of a fit or delay level: plain workers, workers with accelerators, doubtful workers. */
export const groupCount = 3;

/** Levels of free room (fit) or delay. */
export const levelCount = 8;

/** Group of a worker; work that needs no accelerator takes group 1 only after group 0. */
export function getWorkerGroup({ capacity, penalty }: Candidate): number {
  if (penalty > 0) return 2;
  return capacity.accelerators > 0 ? 1 : 0;
}

/** Level by free room: 0 for nearly full workers, which best fit tries first. */
export function computeFitLevel({ capacity, used }: Candidate): number {
  const free = addScaled(capacity, used, -1);
  const freeFraction = Math.min(
    capacity.processors > 0 ? free.processors / capacity.processors : 1,
    capacity.memoryMb > 0 ? free.memoryMb / capacity.memoryMb : 1,
    capacity.slots > 0 ? free.slots / capacity.slots : 1,
  );
  return Math.max(0, Math.min(levelCount - 1, Math.floor(freeFraction * levelCount)));
}

/** Expected delay of one more lookup: work in progress times recent latency, in milliseconds. */
export function estimateDelayMs({ outstanding, latencyMs, penalty }: Candidate): number {
  return (outstanding + 1) * Math.max(1, latencyMs) * (1 + 8 * penalty);
}

// Level 0 is below 16 ms; each further level is four times as long, so level 7 begins at 65 s.
const minLevelDelayMs = 16;

/** Level by expected delay: 0 for the quickest. */
export function computeDelayLevel(candidate: Candidate): number {
  const ratio = estimateDelayMs(candidate) / minLevelDelayMs;
  if (ratio < 1) return 0;
  return Math.min(levelCount - 1, 1 + Math.floor(Math.log2(ratio) / 2));
}

/**
 * Cost of placing a size on a worker, lower is better: what is left of the scarcest resource
 * decides little, an uneven rest decides much, because an uneven rest cannot be used.
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
