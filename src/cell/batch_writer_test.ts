import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { Fate, FakeStore } from '../testing/fake_store.ts';
import { makeJournal } from './batch_writer.ts';
import { progressRow, sequenceRow } from './rows.ts';

const test = suite('journal');

const hastyClock: Clock = { ...systemClock, sleep: () => Promise.resolve() };

async function open(store: FakeStore, author = 'a') {
  const claimed = await store.transact({
    expected: [],
    writes: [{ ...sequenceRow, value: `${author}.0` }],
    deletes: [],
  });
  const state = { deposed: false };
  const journal = makeJournal({
    store,
    clock: hastyClock,
    log: silentLogger,
    sequenceRow,
    start: { version: claimed.orDefault(0), value: `${author}.0` },
    author,
    onDeposed() {
      state.deposed = true;
    },
  });
  return { journal, state };
}

test('rows marked together are stored by one transaction, with their newest content', async () => {
  const store = makeFakeStore();
  const { journal } = await open(store);
  let value = 'old';
  journal.mark(progressRow('j1'), () => value);
  journal.mark(progressRow('j2'), () => 'two');
  value = 'new';
  assert.ok(await journal.flush());
  assert.is(store.value('progress', 'j1'), 'new');
  const versions = ['j1', 'j2'].map(
    (key) => [...store.rows.values()].find((row) => row.key === key)!.version,
  );
  assert.is(versions[0], versions[1]);
});

test('a flush waits for its rows, also when one is marked again before it is written', async () => {
  const inner = makeFakeStore();
  const store: FakeStore = {
    ...inner,
    async transact(change) {
      await systemClock.sleep(1);
      return inner.transact(change);
    },
  };
  const { journal } = await open(store);
  journal.mark(progressRow('j1'), () => 'one');
  const first = journal.flush();
  // The transaction with j1 is under way from here on.
  await Promise.resolve();
  journal.mark(progressRow('j2'), () => 'two');
  const second = journal.flush().then(() => store.value('progress', 'j2'));
  journal.mark(progressRow('j2'), () => 'two');
  await first;
  assert.is(await second, 'two');
});

test('a deposed scheduler stores nothing more, and its waiters hear so', async () => {
  const store = makeFakeStore();
  const { journal, state } = await open(store, 'a');
  await open(store, 'b');
  journal.mark(progressRow('j1'), () => 'from a');
  assert.not.ok(await journal.flush());
  assert.ok(state.deposed);
  assert.is(store.value('progress', 'j1'), undefined);
  assert.not.ok(await journal.flush());
});

test('a write that takes effect late does not undo a newer one', async () => {
  const store = makeFakeStore();
  const { journal } = await open(store);
  const fates: Fate[] = ['late'];
  store.setOutcome(() => fates.shift() ?? 'done');
  journal.mark(progressRow('j1'), () => 'first');
  assert.ok(await journal.flush());
  journal.mark(progressRow('j1'), () => 'second');
  assert.ok(await journal.flush());
  store.runLate();
  assert.is(store.value('progress', 'j1'), 'second');
});

test('a store that rejects, loses and puts off writes ends with what was marked last', async () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = makeRandom(seed);
    const store = makeFakeStore();
    const { journal, state } = await open(store);
    const fates: Fate[] = ['done', 'rejected', 'unanswered', 'lost', 'late'];
    store.setOutcome(() => {
      if (random() < 0.2) store.runLate();
      return fates[Math.floor(random() * fates.length)]!;
    });
    const expected = new Map<string, string>();
    for (let step = 0; step < 20; step++) {
      const key = `j${Math.floor(random() * 4)}`;
      expected.set(key, `${step}`);
      journal.mark(progressRow(key), () => expected.get(key));
      if (random() < 0.5) assert.ok(await journal.flush(), `seed ${seed}`);
    }
    assert.ok(await journal.flush(), `seed ${seed}`);
    store.runLate();
    assert.not.ok(state.deposed, `seed ${seed}`);
    expected.forEach((value, key) =>
      assert.is(store.value('progress', key), value, `seed ${seed}`),
    );
  }
});

test('only a store that rejects every attempt counts as rejecting', async () => {
  const store = makeFakeStore();
  const { journal } = await open(store);
  const seen: number[] = [];
  const fates: Fate[] = ['rejected', 'rejected', 'lost', 'rejected', 'done'];
  store.setOutcome(() => {
    seen.push(journal.rejectedMs());
    return fates.shift()!;
  });
  journal.mark(progressRow('j1'), () => 'one');
  assert.ok(await journal.flush());
  assert.is(seen[0], 0);
  assert.ok(seen[2]! > 0, 'two attempts were rejected');
  assert.is(seen[3], 0, 'the third may have taken effect');
  assert.is(journal.rejectedMs(), 0);
});

test.run();
