import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { getMaxPredecessorLeaseMs } from './_leases.ts';

const test = suite('leases');

// Guards against a second run while an order that a predecessor sent just before its end holds the longest lease.
test('the leases of a predecessor that has ended count from the timeout of its last order', () => {
  const slowClockFactor = 1.02;
  const orderTimeoutMs = 900;
  const waitMs = getMaxPredecessorLeaseMs({ maxLeaseMs: 6_000, predecessorMayAct: false });
  assert.ok(waitMs >= orderTimeoutMs + 6_000 * slowClockFactor);
});

test.run();
