import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { hasHeartbeatStopped } from './_heartbeat_age.ts';

const test = suite('heartbeat age');

test('a working scheduler is not replaced because a slow store delays its heartbeats', () => {
  assert.is(hasHeartbeatStopped({ ageMs: 1_000, lastIntervalMs: 650, isUnresponsive: true }), true);
  assert.is(
    hasHeartbeatStopped({ ageMs: 1_000, lastIntervalMs: 1_200, isUnresponsive: true }),
    false,
  );
  assert.is(
    hasHeartbeatStopped({ ageMs: 2_200, lastIntervalMs: 1_200, isUnresponsive: false }),
    false,
  );
  assert.is(
    hasHeartbeatStopped({ ageMs: 2_500, lastIntervalMs: 1_200, isUnresponsive: false }),
    true,
  );
});

test('a heartbeat interval prolonged by a store outage hardly delays replacing a dead scheduler', () => {
  assert.is(
    hasHeartbeatStopped({ ageMs: 2_000, lastIntervalMs: 8_000, isUnresponsive: true }),
    true,
  );
  assert.is(
    hasHeartbeatStopped({ ageMs: 950, lastIntervalMs: 0, isUnresponsive: true }),
    true,
    'before the second heartbeat',
  );
});

test.run();
