import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import { addToRanges, countInRanges, findRange } from './_ranges.ts';
import type { NumberRange } from './_ranges.ts';

const test = suite('ranges');

// Guards against an occurrence that counts as complete though it is not, and runs never or twice.
test('ranges hold exactly the numbers that were added, whatever their order', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = makeRandom(seed);
    const added = new Set<number>();
    let ranges: NumberRange[] = [];
    for (let step = 0; step < 40; step++) {
      const value = Math.floor(random() * 50);
      added.add(value);
      ranges = addToRanges(ranges, value);
      assert.is(countInRanges(ranges), added.size, `seed ${seed}`);
    }
    for (let value = 0; value < 50; value++) {
      assert.is(findRange(ranges, value) !== undefined, added.has(value), `seed ${seed}`);
    }
    ranges
      .slice(1)
      .forEach(([first], index) => assert.ok(first > ranges[index]![1] + 1, `seed ${seed}`));
  }
});

test.run();
