import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeTimeMark } from './time_mark.ts';

const test = suite('time mark');

test('a permission does not outlive the time for which the machine was suspended', () => {
  let nowMs = 1_000;
  let wallMs = 500_000;
  const mark = makeTimeMark({ now: () => nowMs, wallTime: () => wallMs });
  assert.is(mark.atMs(), undefined);
  mark.record(nowMs);
  nowMs += 400;
  wallMs += 400;
  assert.is(mark.atMs(), 1_000);
  wallMs += 3_000;
  assert.is(mark.atMs(), -2_000, 'it lies 3.4 s back');
  mark.record(nowMs);
  assert.is(mark.atMs(), 1_400);
});

test('small adjustments of the wall clock, or one that sets it back, do not change a recorded time', () => {
  let wallMs = 0;
  const mark = makeTimeMark({ now: () => 10, wallTime: () => wallMs });
  mark.record(10);
  wallMs = 200;
  assert.is(mark.atMs(), 10);
  wallMs = -90_000;
  assert.is(mark.atMs(), 10);
});

test.run();
