import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from './mod.ts';

test('timers that fire out of order would make randomised runs differ', async () => {
  const clock = makeVirtualClock();
  const seen: string[] = [];
  const wait = async (name: string, ms: number) => {
    await clock.sleep(ms);
    seen.push(`${name}@${clock.now()}`);
  };
  const all = [wait('b', 20), wait('a', 10), wait('c', 20)];
  await clock.advance(50);
  await Promise.all(all);
  assert.equal(seen, ['a@10', 'b@20', 'c@20']);
  assert.is(clock.now(), 50);
});

test('an aborted sleep that keeps its timer would leak', async () => {
  const clock = makeVirtualClock();
  const stop = new AbortController();
  const done = clock.sleep(1_000, stop.signal);
  stop.abort();
  await done;
  assert.is(clock.pending(), 0);
});

test.run();
