import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { TransactionOutcome, FakeStore } from '../testing/fake_store.ts';
import { makeBatchWriter } from './batch_writer.ts';
import { heartbeatRow, progressRow, sequenceRow } from './rows.ts';

const test = suite('batch writer');

const instantClock: Clock = { ...systemClock, sleep: () => Promise.resolve() };

async function claimAndOpen(store: FakeStore, author = 'a', clock = instantClock) {
  const claimed = await store.transact({
    expected: [],
    writes: [{ ...sequenceRow, value: `${author}.0` }],
    deletes: [],
  });
  const state = { deposed: false };
  const writer = makeBatchWriter({
    store,
    clock,
    log: silentLogger,
    sequenceRow,
    claimedSequence: { version: claimed.orDefault(0), value: `${author}.0` },
    author,
    maxRowBytes: 65_536,
    onDeposed() {
      state.deposed = true;
    },
  });
  return { writer, state };
}

test('rows marked together are stored by one transaction, with their latest content', async () => {
  const store = makeFakeStore();
  const { writer } = await claimAndOpen(store);
  let value = 'old';
  writer.markDirty(progressRow('j1'), () => value);
  writer.markDirty(progressRow('j2'), () => 'two');
  value = 'new';
  assert.ok(await writer.flush());
  assert.is(store.getValue('progress', 'j1'), 'new');
  const versions = ['j1', 'j2'].map(
    (key) => [...store.rows.values()].find((row) => row.key === key)!.version,
  );
  assert.is(versions[0], versions[1]);
});

// Guards against leases that are renewed after a successor has stopped to wait for them.
test('the last commit counts from its sending, and a suspended machine does not hide its age', async () => {
  const inner = makeFakeStore();
  let nowMs = 1_000;
  let wallMs = 500_000;
  const pass = (ms: number) => {
    nowMs += ms;
    wallMs += ms;
  };
  const store = {
    ...inner,
    async transact(change: Parameters<typeof inner.transact>[0]) {
      const result = await inner.transact(change);
      pass(700);
      return result;
    },
  };
  const clock = { ...instantClock, now: () => nowMs, wallTime: () => wallMs };
  const { writer } = await claimAndOpen(store, 'a', clock);
  pass(5_000);
  const sentAtMs = nowMs;
  writer.markDirty(progressRow('j1'), () => 'one');
  assert.ok(await writer.flush());
  assert.is(writer.lastCommitAtMs(), sentAtMs);
  wallMs += 4_000;
  assert.is(writer.lastCommitAtMs(), sentAtMs - 4_000);
});

test('a heartbeat does not wait behind a backlog of other rows', async () => {
  const store = makeFakeStore();
  const { writer } = await claimAndOpen(store);
  const keys = Array.from({ length: 200 }, (_, index) => `j${index}`);
  keys.forEach((key) => writer.markDirty(progressRow(key), () => 'x'));
  writer.markDirtyFirst(heartbeatRow, () => 'beat');
  assert.ok(await writer.flush());
  const getVersion = (name: string) =>
    [...store.rows.values()].find(({ key }) => key === name)!.version;
  assert.is(getVersion('heartbeat'), getVersion('j0'), 'it is in the first transaction');
  assert.ok(getVersion('j199') > getVersion('j0'));
});

test('an error while a transaction is built ends the term, and nothing counts as stored', async () => {
  const { writer, state } = await claimAndOpen(makeFakeStore());
  writer.markDirty(progressRow('j1'), () => {
    throw new Error('unexpected');
  });
  assert.is(await writer.flush(), false);
  assert.ok(state.deposed);
});

test('a flush waits for its rows even if one is marked again before it is written', async () => {
  const inner = makeFakeStore();
  const store: FakeStore = {
    ...inner,
    async transact(transaction) {
      await systemClock.sleep(1);
      return inner.transact(transaction);
    },
  };
  const { writer } = await claimAndOpen(store);
  writer.markDirty(progressRow('j1'), () => 'one');
  const first = writer.flush();
  // The transaction with j1 is in flight from here on.
  await Promise.resolve();
  writer.markDirty(progressRow('j2'), () => 'two');
  const second = writer.flush().then(() => store.getValue('progress', 'j2'));
  writer.markDirty(progressRow('j2'), () => 'two');
  await first;
  assert.is(await second, 'two');
});

test('a deposed scheduler stores nothing more, and its flushes resolve with false', async () => {
  const store = makeFakeStore();
  const { writer, state } = await claimAndOpen(store, 'a');
  await claimAndOpen(store, 'b');
  writer.markDirty(progressRow('j1'), () => 'from a');
  assert.not.ok(await writer.flush());
  assert.ok(state.deposed);
  assert.is(store.getValue('progress', 'j1'), undefined);
  assert.not.ok(await writer.flush());
});

test('a write that arrives late does not overwrite a newer one', async () => {
  const store = makeFakeStore();
  const { writer } = await claimAndOpen(store);
  const outcomes: TransactionOutcome[] = ['late'];
  store.setOutcome(() => outcomes.shift() ?? 'done');
  writer.markDirty(progressRow('j1'), () => 'first');
  assert.ok(await writer.flush());
  writer.markDirty(progressRow('j1'), () => 'second');
  assert.ok(await writer.flush());
  store.applyLateTransactions();
  assert.is(store.getValue('progress', 'j1'), 'second');
});

test('a store that rejects, loses and delays writes finally holds the content marked last', async () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = makeRandom(seed);
    const store = makeFakeStore();
    const { writer, state } = await claimAndOpen(store);
    const outcomes: TransactionOutcome[] = ['done', 'rejected', 'unanswered', 'lost', 'late'];
    store.setOutcome(() => {
      if (random() < 0.2) store.applyLateTransactions();
      return outcomes[Math.floor(random() * outcomes.length)]!;
    });
    const expected = new Map<string, string>();
    for (let step = 0; step < 20; step++) {
      const key = `j${Math.floor(random() * 4)}`;
      expected.set(key, `${step}`);
      writer.markDirty(progressRow(key), () => expected.get(key));
      if (random() < 0.5) assert.ok(await writer.flush(), `seed ${seed}`);
    }
    assert.ok(await writer.flush(), `seed ${seed}`);
    store.applyLateTransactions();
    assert.not.ok(state.deposed, `seed ${seed}`);
    expected.forEach((value, key) =>
      assert.is(store.getValue('progress', key), value, `seed ${seed}`),
    );
  }
});

test('a store counts as rejecting only while it rejects every attempt', async () => {
  const store = makeFakeStore();
  const { writer } = await claimAndOpen(store);
  const seen: number[] = [];
  const outcomes: TransactionOutcome[] = ['rejected', 'rejected', 'lost', 'rejected', 'done'];
  store.setOutcome(() => {
    seen.push(writer.rejectedMs());
    return outcomes.shift()!;
  });
  writer.markDirty(progressRow('j1'), () => 'one');
  assert.ok(await writer.flush());
  assert.is(seen[0], 0);
  assert.ok(seen[2]! > 0, 'two attempts were rejected');
  assert.is(seen[3], 0, 'the third may have taken effect');
  assert.is(writer.rejectedMs(), 0);
});

/** Counts the transactions that the writer sends. */
function countTransactions(store: FakeStore): () => number {
  let count = 0;
  store.setOutcome(() => {
    count += 1;
    return 'done';
  });
  return () => count;
}

// Guards against one job that keeps the changes of all others from being stored (review 1).
test('a row that the store never takes holds up no other row, and the store does not count as failing', async () => {
  const store = makeFakeStore({ maxRowBytes: 100 });
  const { writer, state } = await claimAndOpen(store);
  const large = progressRow('large');
  const keys = Array.from({ length: 80 }, (_, index) => `j${index}`);
  keys.slice(0, 50).forEach((key) => writer.markDirty(progressRow(key), () => key));
  writer.markDirty(large, () => 'x'.repeat(200));
  keys.slice(50).forEach((key) => writer.markDirty(progressRow(key), () => key));
  writer.markDirtyFirst(heartbeatRow, () => 'beat');
  assert.ok(await writer.flush({ rows: keys.map(progressRow) }));
  keys.forEach((key) => assert.is(store.getValue('progress', key), key));
  assert.is(store.getValue('leadership', 'heartbeat'), 'beat');
  assert.is(writer.failingMs(), 0);
  assert.is(writer.rejectedMs(), 0);
  assert.not.ok(state.deposed);
});

// Guards against an order or a confirmation for a change that was not stored, and against waiting callers
// that pile up behind a row for as long as the store rejects it.
test('a flush of a rejected row fails at once, and succeeds when the row has been stored', async () => {
  const store = makeFakeStore({ maxRowBytes: 100 });
  let nowMs = 0;
  const { writer } = await claimAndOpen(store, 'a', { ...instantClock, now: () => nowMs });
  const large = progressRow('large');
  let content = 'x'.repeat(200);
  writer.markDirty(large, () => content);
  assert.is(await writer.flush({ rows: [large] }), false);
  assert.is(await writer.flush({ rows: [large] }), false);
  assert.ok(writer.isHeldBack(large));
  writer.markDirty(progressRow('other'), () => 'other');
  assert.ok(await writer.flush({ rows: [progressRow('other')] }));
  assert.ok(await writer.flush());
  content = 'small';
  writer.markDirty(large, () => content);
  assert.is(await writer.flush({ rows: [large] }), false, 'it is sent again after a while only');
  nowMs = 6_000;
  writer.markDirty(progressRow('other'), () => 'other');
  assert.ok(await writer.flush());
  assert.ok(await writer.flush({ rows: [large] }));
  assert.is(store.getValue('progress', 'large'), 'small');
});

// Guards against a transaction with two writes of one row, which the store may reject for ever.
test('a heartbeat that the store rejects is dropped, and the next one is stored', async () => {
  const store = makeFakeStore({ maxRowBytes: 100 });
  let nowMs = 0;
  const { writer } = await claimAndOpen(store, 'a', { ...instantClock, now: () => nowMs });
  writer.markDirtyFirst(heartbeatRow, () => 'x'.repeat(200));
  writer.markDirty(progressRow('j1'), () => 'one');
  assert.ok(await writer.flush());
  nowMs = 6_000;
  const transact = store.transact.bind(store);
  const keys: string[][] = [];
  store.transact = (change) => {
    keys.push(change.writes.map(({ key }) => key));
    return transact(change);
  };
  writer.markDirtyFirst(heartbeatRow, () => 'beat');
  writer.markDirty(progressRow('j2'), () => 'two');
  assert.ok(await writer.flush());
  keys.forEach((written) => assert.is(new Set(written).size, written.length));
  assert.is(store.getValue('leadership', 'heartbeat'), 'beat');
});

// Guards against a transaction over 1 MB, which the store never takes, from rows that fit one by one.
test('many large rows are stored by several transactions, none of which is over a limit', async () => {
  for (const letter of ['x', '€']) {
    const store = makeFakeStore();
    const sent = countTransactions(store);
    const { writer } = await claimAndOpen(store);
    const value = letter.repeat(Math.floor(65_000 / Buffer.byteLength(letter)));
    const keys = Array.from({ length: 40 }, (_, index) => `j${index}`);
    keys.forEach((key) => writer.markDirty(progressRow(key), () => value));
    assert.ok(await writer.flush());
    keys.forEach((key) => assert.is(store.getValue('progress', key), value));
    assert.is(sent(), 1 + 4, 'the claim and four transactions of up to 11 rows');
  }
});

test.run();
