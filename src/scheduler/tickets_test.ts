import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { computeTicketEnd } from './mod.ts';

const test = suite('tickets');

// Guards against start orders that a late process sends with tickets that have expired.
test('the time of a ticket does not run from the late handling of its response', () => {
  const request = { requestedAtMs: 1_000, expectedMs: 20, validityMs: 2_000 };
  assert.is(computeTicketEnd({ ...request, nowMs: 1_900 }), 3_020);
  assert.is(computeTicketEnd({ ...request, nowMs: 1_015 }), 3_015, 'a quicker response counts');
});

test.run();
