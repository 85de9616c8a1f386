import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import { makeLookupHeadroom, makeRetryBudget, computeRetryDelayMs, routeLookup } from './mod.ts';
import type { LookupState } from './mod.ts';

const state: LookupState = {
  remainingMs: 1_600,
  hasFreeWorker: false,
  queued: 0,
  concurrentLookups: 10,
  meanRunMs: 100,
  mayHandOver: true,
  peers: [{ id: 'm2', waitMs: 20, ageMs: 100 }],
  handOverDelayMs: 3,
};

test('a lookup that cannot start in time does not hold its caller until the deadline', () => {
  const route = (changes: Partial<LookupState>) =>
    routeLookup({ ...state, ...changes }, makeRandom(1)).action;
  assert.is(route({ hasFreeWorker: true }), 'place');
  assert.is(route({}), 'wait');
  assert.is(route({ queued: 100 }), 'hand-over');
  assert.is(route({ queued: 200, mayHandOver: false }), 'shed');
  assert.is(route({ queued: 200, peers: [{ id: 'm2', waitMs: 9_000, ageMs: 10 }] }), 'shed');
});

test('the headroom for lookups follows their rate, so that it suffices at a peak', () => {
  const headroom = makeLookupHeadroom();
  assert.is(headroom.computeHeadroom(0, 0), 1);
  for (let now = 0; now < 60_000; now += 20) {
    headroom.recordArrival(now);
    headroom.recordRunTime(200);
  }
  const peak = headroom.computeHeadroom(60_000, 0);
  assert.ok(peak >= 12 && peak <= 18, String(peak));
  assert.ok(headroom.computeHeadroom(60_000, 10) < peak);
  assert.is(headroom.computeHeadroom(3_600_000, 0), 1);
});

test('retries are jittered and limited, so that they do not keep a failed service down', () => {
  const random = makeRandom(3);
  const delays = Array.from({ length: 50 }, () => computeRetryDelayMs(3, random));
  assert.ok(Math.min(...delays) >= 2_000 && Math.max(...delays) <= 4_000);
  assert.ok(new Set(delays).size > 40);
  const budget = makeRetryBudget({ perMinute: 2 });
  assert.equal(
    [0, 0, 0, 30_000].map((now) => budget.tryTake('a', now)),
    [true, true, false, true],
  );
});

test.run();
