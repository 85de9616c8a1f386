/**
 * A tournament tree over the resource vectors of workers. Each node holds, per resource, the
 * largest amount of any leaf below it, so a search skips subtrees in which nothing can fit.
 */
import { dimensionCount } from './_size.ts';

const tolerance = 1e-9;
const absent = -1;

/** The required amounts and the limits of a search. */
export interface CapacityQuery {
  need: readonly number[];
  /** Leaf at which the search starts; it wraps around at the end. */
  start: number;
  /** Number of nodes after which the search stops. */
  maxVisits: number;
}

/** A tree with a fixed number of leaves, which must be a power of two. */
export interface CapacityTree {
  set(leaf: number, free: readonly number[]): void;
  clear(leaf: number): void;
  /**
   * Visits leaves that satisfy the need until the visitor returns true. Returns false when the
   * search stopped at its limit of visited nodes.
   */
  search(query: CapacityQuery, visit: (leaf: number) => boolean): boolean;
  /** False when no leaf can satisfy the need. */
  mayFit(need: readonly number[]): boolean;
  /** Largest amount of a resource over all leaves; -1 when no leaf is set. */
  getLargest(dimension: number): number;
}

/**
 * Makes an empty tree.
 *
 * @example
 * const tree = makeCapacityTree(8);
 * tree.set(3, [4, 1024, 0, 8]);
 */
export function makeCapacityTree(leafCount: number): CapacityTree {
  const maxAmounts = new Float64Array(2 * leafCount * dimensionCount).fill(absent);
  const stack = new Int32Array(2 * Math.ceil(Math.log2(leafCount)) + 4);

  const updateAncestors = (leaf: number) => {
    for (let node = Math.floor((leafCount + leaf) / 2); node >= 1; node = Math.floor(node / 2)) {
      const leftOffset = 2 * node * dimensionCount;
      const nodeOffset = node * dimensionCount;
      let hasChanged = false;
      for (let d = 0; d < dimensionCount; d++) {
        const maxAmount = Math.max(
          maxAmounts[leftOffset + d] ?? absent,
          maxAmounts[leftOffset + dimensionCount + d] ?? absent,
        );
        if (maxAmounts[nodeOffset + d] !== maxAmount) {
          maxAmounts[nodeOffset + d] = maxAmount;
          hasChanged = true;
        }
      }
      if (!hasChanged) return;
    }
  };

  const mayFitBelow = (node: number, need: readonly number[]) => {
    const offset = node * dimensionCount;
    if ((maxAmounts[offset] ?? absent) < 0) return false;
    for (let d = 0; d < dimensionCount; d++) {
      if ((need[d] ?? 0) > (maxAmounts[offset + d] ?? absent) + tolerance) return false;
    }
    return true;
  };

  // The first pass skips the leaves below `start`, the second those at or above it.
  const isOutsidePass = (
    node: number,
    { start, isSecondPass }: { start: number; isSecondPass: boolean },
  ) => {
    let firstNode = node;
    let lastNode = node;
    while (firstNode < leafCount) {
      firstNode *= 2;
      lastNode = 2 * lastNode + 1;
    }
    return isSecondPass ? firstNode - leafCount >= start : lastNode - leafCount < start;
  };

  return {
    set(leaf, free) {
      const offset = (leafCount + leaf) * dimensionCount;
      for (let d = 0; d < dimensionCount; d++) maxAmounts[offset + d] = free[d] ?? absent;
      updateAncestors(leaf);
    },
    clear(leaf) {
      const offset = (leafCount + leaf) * dimensionCount;
      if (maxAmounts[offset] === absent) return;
      for (let d = 0; d < dimensionCount; d++) maxAmounts[offset + d] = absent;
      updateAncestors(leaf);
    },
    search({ need, start, maxVisits }, visit) {
      if (!mayFitBelow(1, need)) return true;
      let visitCount = 0;
      for (let pass = 0; pass < 2; pass++) {
        const passRange = { start, isSecondPass: pass === 1 };
        let stackSize = 1;
        stack[0] = 1;
        while (stackSize > 0) {
          stackSize -= 1;
          const node = stack[stackSize] ?? 1;
          visitCount += 1;
          if (visitCount > maxVisits) return false;
          if (mayFitBelow(node, need) && !isOutsidePass(node, passRange)) {
            if (node >= leafCount) {
              if (visit(node - leafCount)) return true;
            } else {
              stack[stackSize] = 2 * node + 1;
              stack[stackSize + 1] = 2 * node;
              stackSize += 2;
            }
          }
        }
      }
      return true;
    },
    mayFit: (need) => mayFitBelow(1, need),
    getLargest: (dimension) => maxAmounts[dimensionCount + dimension] ?? absent,
  };
}
