/**
 * A tournament tree over workers: each node holds the largest free room of any leaf below it, per
 * resource. A search for room skips subtrees that cannot hold it.
 */
import { dimensions } from './_size.ts';

const tolerance = 1e-9;
const absent = -1;

/** What a search asks for. */
export interface RoomQuery {
  need: readonly number[];
  /** First leaf to look at; the search wraps around. */
  start: number;
  /** Nodes visited before the search gives up. */
  maxVisits: number;
}

/** A tree with a fixed number of leaves, a power of two. */
export interface RoomTree {
  set(leaf: number, free: readonly number[]): void;
  clear(leaf: number): void;
  /**
   * Offers feasible leaves until the visitor returns true or the visits are used up; false means
   * that visits ran out.
   */
  search(query: RoomQuery, visit: (leaf: number) => boolean): boolean;
  /** False when no leaf can hold the need. */
  admits(need: readonly number[]): boolean;
  /** Largest free room of a resource over all leaves; -1 when there is no leaf. */
  largest(dimension: number): number;
}

/**
 * Makes an empty tree.
 *
 * @example
 * const tree = makeRoomTree(8);
 * tree.set(3, [4, 1024, 0, 8]);
 */
export function makeRoomTree(leaves: number): RoomTree {
  const room = new Float64Array(2 * leaves * dimensions).fill(absent);
  const stack = new Int32Array(2 * Math.ceil(Math.log2(leaves)) + 4);

  const lift = (leaf: number) => {
    for (let node = Math.floor((leaves + leaf) / 2); node >= 1; node = Math.floor(node / 2)) {
      const left = 2 * node * dimensions;
      const target = node * dimensions;
      let changed = false;
      for (let d = 0; d < dimensions; d++) {
        const value = Math.max(room[left + d] ?? absent, room[left + dimensions + d] ?? absent);
        if (room[target + d] !== value) {
          room[target + d] = value;
          changed = true;
        }
      }
      if (!changed) return;
    }
  };

  const admits = (node: number, need: readonly number[]) => {
    const base = node * dimensions;
    if ((room[base] ?? absent) < 0) return false;
    for (let d = 0; d < dimensions; d++) {
      if ((need[d] ?? 0) > (room[base + d] ?? absent) + tolerance) return false;
    }
    return true;
  };

  // A leaf is below `start` in the first pass and at or above it in the second: both are skipped.
  const outside = (node: number, { start, second }: { start: number; second: boolean }) => {
    let first = node;
    let last = node;
    while (first < leaves) {
      first *= 2;
      last = 2 * last + 1;
    }
    return second ? first - leaves >= start : last - leaves < start;
  };

  return {
    set(leaf, free) {
      const base = (leaves + leaf) * dimensions;
      for (let d = 0; d < dimensions; d++) room[base + d] = free[d] ?? absent;
      lift(leaf);
    },
    clear(leaf) {
      const base = (leaves + leaf) * dimensions;
      if (room[base] === absent) return;
      for (let d = 0; d < dimensions; d++) room[base + d] = absent;
      lift(leaf);
    },
    search({ need, start, maxVisits }, visit) {
      if (!admits(1, need)) return true;
      let visits = 0;
      for (let pass = 0; pass < 2; pass++) {
        const range = { start, second: pass === 1 };
        let top = 1;
        stack[0] = 1;
        while (top > 0) {
          top -= 1;
          const node = stack[top] ?? 1;
          visits += 1;
          if (visits > maxVisits) return false;
          if (admits(node, need) && !outside(node, range)) {
            if (node >= leaves) {
              if (visit(node - leaves)) return true;
            } else {
              stack[top] = 2 * node + 1;
              stack[top + 1] = 2 * node;
              top += 2;
            }
          }
        }
      }
      return true;
    },
    admits: (need) => admits(1, need),
    largest: (dimension) => room[dimensions + dimension] ?? absent,
  };
}
