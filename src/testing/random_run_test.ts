import * as fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { randomRun } from './random_run.ts';
import type { RandomRunSettings } from './random_run.ts';

function inputsOf(settings: RandomRunSettings, cases: [number][] = []): number[] {
  const inputs: number[] = [];
  const property = fc.property(fc.integer(), (input) => {
    inputs.push(input);
  });
  fc.assert(property, randomRun({ numRuns: 5, cases }, settings));
  return inputs;
}

test('inputs that differ from run to run would give CI more than one verdict', () => {
  assert.equal(inputsOf({}), inputsOf({}));
});

test('a seed that does not repeat its inputs would lose the failure it found', () => {
  assert.equal(inputsOf({ TEST_SEED: '849961697' }), inputsOf({ TEST_SEED: '849961697' }));
  assert.not.equal(inputsOf({ TEST_SEED: '849961697' }), inputsOf({}));
});

test('a kept case that takes the place of a random input would make the test weaker', () => {
  assert.equal(inputsOf({}, [[-907621904]]), [-907621904, ...inputsOf({})]);
  assert.is(inputsOf({ TEST_RUNS: '2' }).length, 5);
  assert.is(inputsOf({ TEST_RUNS: '9' }).length, 9);
});

test('a mistyped seed would silently run another one', () => {
  assert.throws(() => randomRun({ numRuns: 1 }, { TEST_SEED: 'frehs' }), /TEST_SEED/);
  assert.throws(() => randomRun({ numRuns: 1 }, { TEST_RUNS: '' }), /TEST_RUNS/);
});

test.run();
