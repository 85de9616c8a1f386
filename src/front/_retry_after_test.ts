import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { stepSpec } from '../testing/fake_cell.ts';
import { computeRetryAfterS } from './_retry_after.ts';

const test = suite('retry after');

function retryAfter(targetFactor: number, targetLatencyMs: number, estimatedMs: number): number {
  const spec = { steps: [stepSpec({ estimatedMs })] };
  return computeRetryAfterS({ targetFactor, targetLatencyMs }, spec);
}

test('clients whose jobs can wait do not use up their attempts within the first seconds of an outage', () => {
  assert.is(retryAfter(4, 3_000, 2_200), 2);
  assert.is(retryAfter(4, 3_000, 3_400), 3);
  assert.is(retryAfter(2.2, 1_000, 6_200), 2);
});

test('the client of a lookup is not told to wait for longer than the lookup is of use', () => {
  assert.is(retryAfter(1.5, 250, 640), 1);
});

test('no client is told to wait for longer than the maximum', () => {
  assert.is(retryAfter(4, 3_000, 600_000), 3);
});

test.run();
