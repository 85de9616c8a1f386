import { Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import { makeTableWatcher } from './table_watcher.ts';

const test = suite('table watcher');

/** Runs a watcher whose second response takes the given time; returns the age of its view then. */
async function findAgeAfterResponse(tookMs: number): Promise<number> {
  const clock = makeVirtualClock();
  const stopped = new AbortController();
  const store = makeFakeStore();
  let polls = 0;
  const watcher = makeTableWatcher({
    store: {
      ...store,
      async watch() {
        polls += 1;
        await clock.sleep(polls === 1 ? tookMs : 700);
        return Right({ rows: [], version: 1 });
      },
    },
    clock,
    log: silentLogger,
    table: 'op',
    readAll: () => store.read({ table: 'op', part: '' }),
    onRows: () => undefined,
  });
  const running = watcher.run(stopped.signal);
  await clock.advance(tookMs);
  const ageMs = clock.now() - watcher.currentAtMs()!;
  stopped.abort();
  await clock.advance(2_000);
  await running;
  return ageMs;
}

test('a response that waited while the process was paused does not count as current', async () => {
  assert.is(await findAgeAfterResponse(4_000), 4_000);
});

test('a response within the wait of the poll, even from a slow store, counts as current', async () => {
  assert.is(await findAgeAfterResponse(700), 0);
  assert.is(await findAgeAfterResponse(1_100), 0);
});

test.run();
