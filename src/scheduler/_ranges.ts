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

/** Returns the range that contains a number; undefined if none does. */
export function findRange(ranges: NumberRange[], value: number): NumberRange | undefined {
  return ranges.find(([first, last]) => first <= value && value <= last);
}

/**
 * Adds a number to ascending ranges and joins those that become adjacent.
 *
 * @example
 * addToRanges([[0, 2], [4, 5]], 3); // [[0, 5]]
 */
export function addToRanges(ranges: NumberRange[], value: number): NumberRange[] {
  if (findRange(ranges, value)) return ranges;
  const below = ranges.filter(([, last]) => last < value - 1);
  const above = ranges.filter(([first]) => first > value + 1);
  const adjacent = ranges.slice(below.length, ranges.length - above.length);
  const first = Math.min(value, ...adjacent.map((range) => range[0]));
  const last = Math.max(value, ...adjacent.map((range) => range[1]));
  return [...below, [first, last], ...above];
}

/** Counts the numbers in the ranges. */
export function countInRanges(ranges: NumberRange[]): number {
  return ranges.reduce((sum, [first, last]) => sum + last - first + 1, 0);
}

/** Whether a value of unknown origin is a list of ascending ranges. */
export function areRanges(value: unknown): value is NumberRange[] {
  if (!Array.isArray(value)) return false;
  const numbers: unknown[] = value.flat();
  const isPair = (each: unknown) => Array.isArray(each) && each.length === 2;
  return (
    value.every(isPair) &&
    numbers.every(Number.isSafeInteger) &&
    numbers.every(
      (each, index) => index === 0 || (each as number) >= (numbers[index - 1] as number),
    )
  );
}

/** Calls a function for each number in the ranges. */
export function forEachInRanges(ranges: NumberRange[], apply: (value: number) => void): void {
  ranges.forEach(([first, last]) => {
    for (let value = first; value <= last; value++) apply(value);
  });
}
