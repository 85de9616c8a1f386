/**
 * Arithmetic on sizes.
 */
import type { Size } from '../schema/mod.ts';

export const noSize: Size = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };

// Declared processors are fractions, whose sums differ from the exact value by rounding.
const roundingTolerance = 1e-6;

function combine(left: Size, right: Size, join: (a: number, b: number) => number): Size {
  return {
    processors: join(left.processors, right.processors),
    memoryMb: join(left.memoryMb, right.memoryMb),
    accelerators: join(left.accelerators, right.accelerators),
    slots: join(left.slots, right.slots),
  };
}

export function add(left: Size, right: Size): Size {
  return combine(left, right, (a, b) => a + b);
}

export function subtract(left: Size, right: Size): Size {
  return combine(left, right, (a, b) => Math.max(0, a - b));
}

export function smaller(left: Size, right: Size): Size {
  return combine(left, right, Math.min);
}

export function fits(size: Size, room: Size): boolean {
  return (
    size.processors <= room.processors + roundingTolerance &&
    size.memoryMb <= room.memoryMb + roundingTolerance &&
    size.accelerators <= room.accelerators + roundingTolerance &&
    size.slots <= room.slots
  );
}
