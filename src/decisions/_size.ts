/**
 * Arithmetic on resource sizes, and their conversion to vectors for the search trees.
 */
import type { Size } from '../schema/mod.ts';

/** Number of resources in a size, the length of its vector. */
export const dimensionCount = 4;

/** Names of the resources in vector order, for messages. */
export const resourceNames = ['processors', 'MB of memory', 'accelerators', 'slots'] as const;

// Keeps rounding errors in sums of fractional processors from rejecting a task that fits.
const tolerance = 1e-9;

/** Converts a size to a vector. */
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

/** A size of no resources. */
export const zeroSize: Size = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/** True when the size fits in the free capacity. */
export function fits(size: Size, free: Size): boolean {
  return (
    size.processors <= free.processors + tolerance &&
    size.memoryMb <= free.memoryMb + tolerance &&
    size.accelerators <= free.accelerators + tolerance &&
    size.slots <= free.slots + tolerance
  );
}

/** Returns the largest fraction, over all resources, of the total that the size takes. */
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

/** Returns how many copies of the size fit in the free capacity. */
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
