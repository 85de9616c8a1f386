import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { hasHeartbeatStopped, isCalmTerm } from './_heartbeat_age.ts';
import type { SchedulerView } from './_heartbeat_age.ts';

const test = suite('heartbeat age');

function hasStopped(view: Partial<SchedulerView>): boolean {
  return hasHeartbeatStopped({
    ageMs: 0,
    longestIntervalMs: 650,
    isUnresponsive: true,
    hasLoaded: true,
    shortTerms: 0,
    ...view,
  });
}

test('a working scheduler is not replaced because a slow store delays its heartbeats', () => {
  assert.is(hasStopped({ ageMs: 1_000 }), true);
  assert.is(hasStopped({ ageMs: 1_000, longestIntervalMs: 1_200 }), false);
});

test('a scheduler that responds is not replaced because overload delays its heartbeats', () => {
  assert.is(hasStopped({ ageMs: 5_900, isUnresponsive: false }), false);
  assert.is(hasStopped({ ageMs: 6_100, isUnresponsive: false }), true, 'it never writes again');
});

test('a heartbeat interval prolonged by a store outage hardly delays replacing a dead scheduler', () => {
  assert.is(hasStopped({ ageMs: 2_000, longestIntervalMs: 8_000 }), true);
  assert.is(hasStopped({ ageMs: 950, longestIntervalMs: 0 }), true, 'before the second heartbeat');
});

test('a scheduler that still loads the cell is not replaced as soon as one that has loaded it', () => {
  assert.is(hasStopped({ ageMs: 1_700, hasLoaded: false }), false);
  assert.is(hasStopped({ ageMs: 1_900, hasLoaded: false }), true);
});

test('takeovers in quick succession do not go on at the same rate', () => {
  assert.is(hasStopped({ ageMs: 1_700, shortTerms: 1 }), false);
  assert.is(hasStopped({ ageMs: 1_900, shortTerms: 1 }), true);
  assert.is(hasStopped({ ageMs: 3_700, shortTerms: 9 }), true, 'the timeout stays bounded');
  assert.is(isCalmTerm(4_900), false);
  assert.is(isCalmTerm(5_000), true);
});

test.run();
