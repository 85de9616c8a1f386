import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { hasStopped } from './_heartbeat_age.ts';

const test = suite('age of a heartbeat');

test('a scheduler that works is not replaced because a slow store delays its heartbeats', () => {
  assert.is(hasStopped({ ageMs: 1_000, gapMs: 650, isSilent: true }), true);
  assert.is(hasStopped({ ageMs: 1_000, gapMs: 1_200, isSilent: true }), false);
  assert.is(hasStopped({ ageMs: 2_200, gapMs: 1_200, isSilent: false }), false);
  assert.is(hasStopped({ ageMs: 2_500, gapMs: 1_200, isSilent: false }), true);
});

test('the gap that an outage of the store leaves does not keep a dead scheduler in office for long', () => {
  assert.is(hasStopped({ ageMs: 2_000, gapMs: 8_000, isSilent: true }), true);
  assert.is(hasStopped({ ageMs: 950, gapMs: 0, isSilent: true }), true, 'before the second one');
});

test.run();
