import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from '../clock/mod.ts';
import { runForever } from './run_forever.ts';

const test = suite('background loops');

test('an error does not end a background loop for good, nor leave a part of it running twice', async () => {
  const clock = makeVirtualClock();
  const stopped = new AbortController();
  const errors: unknown[] = [];
  let active = 0;
  let starts = 0;
  async function runPart(signal: AbortSignal): Promise<void> {
    active += 1;
    while (!signal.aborted) await clock.sleep(100, signal);
    active -= 1;
  }
  async function failOnce(signal: AbortSignal): Promise<void> {
    starts += 1;
    await clock.sleep(150, signal);
    if (starts === 1) throw new Error('unexpected');
    await runPart(signal);
  }
  const running = runForever((signal) => Promise.all([runPart(signal), failOnce(signal)]).then(), {
    clock,
    onError: (error) => errors.push(error),
    signal: stopped.signal,
  });
  await clock.advance(2_000);
  assert.is(errors.length, 1);
  assert.is(starts, 2);
  assert.is(active, 2, 'one loop of each kind');
  stopped.abort();
  await running;
  assert.is(active, 0);
});

test.run();
