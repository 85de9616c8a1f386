import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from './mod.ts';

test('timers that fire out of order would make randomised runs differ', async () => {
  const clock = makeVirtualClock();
  const fired: string[] = [];
  const sleepAndRecord = async (name: string, ms: number) => {
    await clock.sleep(ms);
    fired.push(`${name}@${clock.now()}`);
  };
  const sleeps = [sleepAndRecord('b', 20), sleepAndRecord('a', 10), sleepAndRecord('c', 20)];
  await clock.advance(50);
  await Promise.all(sleeps);
  assert.equal(fired, ['a@10', 'b@20', 'c@20']);
  assert.is(clock.now(), 50);
});

test('an aborted sleep that keeps its timer would leak it', async () => {
  const clock = makeVirtualClock();
  const controller = new AbortController();
  const done = clock.sleep(1_000, controller.signal);
  controller.abort();
  await done;
  assert.is(clock.countTimers(), 0);
});

test.run();
