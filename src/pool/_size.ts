/**
 * Arithmetic on task and worker sizes.
 */
import type { Size } from '../schema/mod.ts';

export const zeroSize: Size = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };

// Declared processors are fractional, so sums of them have rounding errors.
const roundingTolerance = 1e-6;

function combine(left: Size, right: Size, operation: (a: number, b: number) => number): Size {
  return {
    processors: operation(left.processors, right.processors),
    memoryMb: operation(left.memoryMb, right.memoryMb),
    accelerators: operation(left.accelerators, right.accelerators),
    slots: operation(left.slots, right.slots),
  };
}

export function add(left: Size, right: Size): Size {
  return combine(left, right, (a, b) => a + b);
}

export function subtract(left: Size, right: Size): Size {
  return combine(left, right, (a, b) => Math.max(0, a - b));
}

export function minimum(left: Size, right: Size): Size {
  return combine(left, right, Math.min);
}

export function fits(size: Size, capacity: Size): boolean {
  return (
    size.processors <= capacity.processors + roundingTolerance &&
    size.memoryMb <= capacity.memoryMb + roundingTolerance &&
    size.accelerators <= capacity.accelerators + roundingTolerance &&
    size.slots <= capacity.slots
  );
}
