import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { FakeStore } from '../testing/fake_store.ts';
import { makeJobWriter } from './job_writer.ts';

const test = suite('job writer');

function row(key: string, part = 'j1') {
  return { table: 'jobs', part, key, value: `{"id":"${key}"}` };
}

/** Makes a store that takes 2 ms for a transaction, and records the rows written by each. */
function setUp() {
  const inner = makeFakeStore();
  const transactionSizes: number[] = [];
  const store: FakeStore = {
    ...inner,
    async transact(change) {
      transactionSizes.push(change.writes.length);
      await systemClock.sleep(2);
      return inner.transact(change);
    },
  };
  return { store, sizes: transactionSizes, writer: makeJobWriter(store, silentLogger) };
}

test('rows of a partition that arrive during a transaction share the next one', async () => {
  const { store, sizes, writer } = setUp();
  const results = await Promise.all(['a', 'b', 'c', 'd'].map((key) => writer.write(row(key))));
  assert.equal(sizes, [1, 3]);
  assert.equal(
    results.map((result) => result.extract()),
    ['new', 'new', 'new', 'new'],
  );
  assert.is(store.rows.size, 4);
});

test('a slow partition does not delay the others', async () => {
  const { sizes, writer } = setUp();
  await Promise.all([writer.write(row('a', 'j1')), writer.write(row('b', 'j2'))]);
  assert.equal(sizes, [1, 1]);
});

test('an existing row does not prevent the others of its transaction from being written', async () => {
  const { store, writer } = setUp();
  await writer.write(row('old'));
  const results = await Promise.all(
    ['first', 'old', 'new', 'new'].map((key) => writer.write(row(key))),
  );
  assert.equal(
    results.map((result) => result.extract()),
    ['new', 'known', 'new', 'new'],
  );
  assert.is(store.rows.size, 3);
});

test('rows of an unanswered transaction are not reported as not written', async () => {
  const { store, writer } = setUp();
  store.setOutcome(() => 'unanswered');
  const results = await Promise.all(['a', 'b', 'c'].map((key) => writer.write(row(key))));
  results.forEach((result) => assert.is(result.swap().unsafeCoerce().kind, ErrorKind.TableUnknown));
});

test('rows of a rejected transaction are reported as not written', async () => {
  const { store, writer } = setUp();
  store.setOutcome(() => 'rejected');
  const result = await writer.write(row('a'));
  assert.is(result.swap().unsafeCoerce().kind, ErrorKind.TableUnavailable);
  assert.is(store.rows.size, 0);
});

// Guards against a batch of large jobs that no transaction holds.
test('rows of the largest size that arrive together are all written', async () => {
  const { store, writer } = setUp();
  const keys = Array.from({ length: 16 }, (_, index) => `k${index}`);
  const value = 'x'.repeat(65_536);
  await Promise.all(keys.map((key) => writer.write({ ...row(key), value })));
  assert.is(store.rows.size, 16);
});

// Guards against one large job by which all that share its batch are refused.
test('a row that the store never takes fails alone', async () => {
  const { writer } = setUp();
  const large = { ...row('large'), value: 'x'.repeat(70_000) };
  const results = await Promise.all(
    [row('first'), row('a'), large, row('b')].map((each) => writer.write(each)),
  );
  assert.equal(
    results.map((result) => result.caseOf<string>({ Left: ({ kind }) => kind, Right: String })),
    ['new', 'new', ErrorKind.TableRejected, 'new'],
  );
});

test.run();
