/**
 * Arithmetic on sizes, and their order as vectors in the search trees.
 */
import type { Size } from '../schema/mod.ts';

/** Number of resources in a size. */
export const dimensionCount = 4;

/** Names of the resources, in vector order, as used in reasons. */
export const resourceNames = ['processors', 'MB of memory', 'accelerators', 'slots'] as const;

// Sums of fractional processors must not refuse a task over a rounding error.
const tolerance = 1e-9;

/** The size as a vector. */
export function toVector(size: Size): [number, number, number, number] {
  return [size.processors, size.memoryMb, size.accelerators, size.slots];
}

/** Adds `factor` times the second size to the first. */
export function addScaled(left: Size, right: Size, factor = 1): Size {
  return {
    processors: left.processors + right.processors * factor,
    memoryMb: left.memoryMb + right.memoryMb * factor,
    accelerators: left.accelerators + right.accelerators * factor,
    slots: left.slots + right.slots * factor,
  };
}

/** A size that takes nothing. */
export const zeroSize: Size = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/** True when the room holds the size. */
export function fits(size: Size, free: Size): boolean {
  return (
    size.processors <= free.processors + tolerance &&
    size.memoryMb <= free.memoryMb + tolerance &&
    size.accelerators <= free.accelerators + tolerance &&
    size.slots <= free.slots + tolerance
  );
}

/** Largest part that the size takes of any resource of the total, from 0. */
export function computeDominantShare(size: Size, total: Size): number {
  let dominantShare = 0;
  if (total.processors > 0)
    dominantShare = Math.max(dominantShare, size.processors / total.processors);
  if (total.memoryMb > 0) dominantShare = Math.max(dominantShare, size.memoryMb / total.memoryMb);
  if (total.accelerators > 0)
    dominantShare = Math.max(dominantShare, size.accelerators / total.accelerators);
  if (total.slots > 0) dominantShare = Math.max(dominantShare, size.slots / total.slots);
  return dominantShare;
}

/** How many copies of the size the room holds. */
export function countFittingCopies(size: Size, free: Size): number {
  let count = Infinity;
  if (size.processors > 0) count = Math.min(count, (free.processors + tolerance) / size.processors);
  if (size.memoryMb > 0) count = Math.min(count, (free.memoryMb + tolerance) / size.memoryMb);
  if (size.accelerators > 0) {
    count = Math.min(count, (free.accelerators + tolerance) / size.accelerators);
  }
  if (size.slots > 0) count = Math.min(count, (free.slots + tolerance) / size.slots);
  return Math.max(0, Math.floor(count));
}
