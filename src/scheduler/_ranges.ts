/**
 * Ranges of whole numbers, a short form of sets whose members are mostly consecutive.
 */

/** A range of whole numbers, both ends included. */
export type NumberRange = [first: number, last: number];

/**
 * Groups ascending numbers into ranges.
 *
 * @example
 * toRanges([0, 1, 2, 7]); // [[0, 2], [7, 7]]
 */
export function toRanges(ascending: Iterable<number>): NumberRange[] {
  const ranges: NumberRange[] = [];
  for (const value of ascending) {
    const range = ranges.at(-1);
    if (range && range[1] === value - 1) range[1] = value;
    else ranges.push([value, value]);
  }
  return ranges;
}

/** Calls a function for each number in the ranges. */
export function forEachInRanges(ranges: NumberRange[], apply: (value: number) => void): void {
  ranges.forEach(([first, last]) => {
    for (let value = first; value <= last; value++) apply(value);
  });
}
