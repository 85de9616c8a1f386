/**
 * A list sorted by a numeric key in ascending order. Equal keys keep their order of insertion.
 */

/** A list that keeps its elements sorted. */
export interface SortedList<T> {
  insert(element: T): void;
  remove(element: T): void;
  at(position: number): T | undefined;
  indexOf(element: T): number;
  size(): number;
}

/**
 * Makes an empty list.
 *
 * @example
 * const list = makeSortedList<number>((n) => n);
 * list.insert(3);
 */
export function makeSortedList<T>(keyOf: (element: T) => number): SortedList<T> {
  const elements: T[] = [];

  const findFirstIndex = (key: number, isInclusive: boolean) => {
    let low = 0;
    let high = elements.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const otherKey = keyOf(elements[middle] as T);
      if (otherKey < key || (!isInclusive && otherKey === key)) low = middle + 1;
      else high = middle;
    }
    return low;
  };

  const indexOf = (element: T) => {
    const key = keyOf(element);
    for (let i = findFirstIndex(key, true); i < elements.length; i++) {
      const other = elements[i] as T;
      if (other === element) return i;
      if (keyOf(other) !== key) return -1;
    }
    return -1;
  };

  return {
    insert(element) {
      elements.splice(findFirstIndex(keyOf(element), false), 0, element);
    },
    remove(element) {
      const index = indexOf(element);
      if (index >= 0) elements.splice(index, 1);
    },
    at: (position) => elements[position],
    indexOf,
    size: () => elements.length,
  };
}
