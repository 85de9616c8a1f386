/**
 * Ranges of whole numbers, a short form of sets whose members are mostly consecutive.
 */

/** A range of whole numbers, both ends included. */
export type NumberRange = [first: number, last: number];

/**
 * Adds a number that is above all numbers in the ranges.
 *
 * @example
 * extendRanges([[0, 2]], 3); // [[0, 3]]
 */
export function extendRanges(ranges: NumberRange[], value: number): void {
  const range = ranges.at(-1);
  if (range && range[1] === value - 1) range[1] = value;
  else ranges.push([value, value]);
}

/** Calls a function for each number in the ranges. */
export function forEachInRanges(ranges: NumberRange[], apply: (value: number) => void): void {
  ranges.forEach(([first, last]) => {
    for (let value = first; value <= last; value++) apply(value);
  });
}
