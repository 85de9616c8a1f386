import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import { ErrorKind, failWith } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import type { Store, StoredRow, StoreTransaction } from '../model/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { FakeStore } from '../testing/fake_store.ts';
import { makeChunkedStore, splitValue } from './chunked_store.ts';

const test = suite('chunked store');

const maxRowBytes = 100;
const row = { table: 'progress', part: 'c0', key: 'a1' };

function setUp(inner: FakeStore = makeFakeStore({ maxRowBytes })) {
  const store = makeChunkedStore(inner, { tables: new Set(['progress']), maxRowBytes });
  const write = (value: string, key = 'a1') =>
    store.transact({ expected: [], writes: [{ ...row, key, value }], deletes: [] });
  return { inner, store, write };
}

async function readAll(store: Store): Promise<StoredRow[]> {
  return (await store.read({ table: 'progress', part: 'c0' })).unsafeCoerce().rows;
}

async function readValue(store: Store): Promise<string | undefined> {
  return (await store.read(row)).unsafeCoerce().rows[0]?.value;
}

/** Letters of one to four bytes in UTF-8. */
const letters = ['a', '"', 'é', '€', '😀'];

function makeText(random: () => number, length: number): string {
  return Array.from({ length }, () => letters[Math.floor(random() * letters.length)]).join('');
}

// Guards against values that change on their way, and against chunks that stay behind.
test('values of any size are read as they were written, and leave no rows behind', async () => {
  for (let seed = 1; seed <= 50; seed++) {
    const random = makeRandom(seed);
    const { inner, store, write } = setUp();
    for (let step = 0; step < 10; step++) {
      const value = makeText(random, Math.floor(random() * 400));
      assert.ok((await write(value)).isRight(), `seed ${seed}`);
      assert.is(await readValue(store), value, `seed ${seed}`);
      assert.is((await readAll(store))[0]!.value, value, `seed ${seed}`);
      assert.is(inner.rows.size, splitValue(value, maxRowBytes).length, `seed ${seed}`);
    }
    await store.transact({ expected: [], writes: [], deletes: [row] });
    assert.is(inner.rows.size, 0, `seed ${seed}`);
  }
});

test('a process that has read a large value replaces all its chunks', async () => {
  const { inner, write } = setUp();
  await write('x'.repeat(500));
  const successor = setUp(inner);
  await readAll(successor.store);
  await successor.write('small');
  assert.is(inner.rows.size, 1);
});

test('after a lost response, the chunks of either value are removed', async () => {
  const { inner, write } = setUp();
  await write('x'.repeat(500));
  inner.setOutcome(() => 'lost');
  await write('small');
  inner.setOutcome(() => 'done');
  await write('small');
  assert.is(inner.rows.size, 1);
});

// Guards against a value that is put together from the chunks of two transactions.
test('a value that is replaced while it is read is read anew', async () => {
  const inner = makeFakeStore({ maxRowBytes });
  const { write } = setUp(inner);
  await write('x'.repeat(500));
  let isReplaced = false;
  const racing: FakeStore = {
    ...inner,
    async read(query) {
      const view = await inner.read(query);
      if (!isReplaced) {
        isReplaced = true;
        await write('y'.repeat(500));
      }
      return view;
    },
  };
  assert.is(await readValue(setUp(racing).store), 'y'.repeat(500));
});

test('a change of a large value is seen as one row, also if its chunks arrive later', async () => {
  const { inner, write } = setUp();
  await write('x'.repeat(500));
  const changed = [...inner.rows.values()];
  for (const rows of [changed, changed.slice(0, 1), changed.slice(0, 3)]) {
    const watched: FakeStore = {
      ...inner,
      watch: async () =>
        (await inner.read({ table: 'progress', part: 'c0' })).map((view) => ({ ...view, rows })),
    };
    const view = await setUp(watched).store.watch('progress', { after: 0, waitMs: 0 });
    assert.equal(
      view.unsafeCoerce()!.rows.map(({ key, value }) => [key, value]),
      [['a1', 'x'.repeat(500)]],
    );
  }
});

// Guards against an accepted job that is skipped as malformed, or started anew, after a read that failed.
test('a view fails as a whole if the chunks of a row cannot be read now', async () => {
  const { inner, write } = setUp();
  await write('x'.repeat(500));
  const first = [...inner.rows.values()].slice(0, 1);
  const failing: FakeStore = {
    ...inner,
    read: async (query) =>
      query.key?.includes('#') ? failWith(ErrorKind.TableUnavailable, 'down') : inner.read(query),
    watch: async () => Right({ rows: first, version: 9 }),
  };
  const { store } = setUp(failing);
  const kindOf = (result: Either<Failure, unknown>) => result.swap().unsafeCoerce().kind;
  assert.is(kindOf(await store.watch('progress', { after: 0, waitMs: 0 })), 'table-unavailable');
  assert.is(kindOf(await store.read(row)), 'table-unavailable');
});

test('a row without its chunks does not prevent the others from being read', async () => {
  const { inner, store, write } = setUp();
  await write('x'.repeat(500));
  await write('sound', 'b2');
  inner.rows.delete('progress/c0/a1#2');
  const rows = await readAll(store);
  assert.is(rows.find(({ key }) => key === 'b2')!.value, 'sound');
});

test('rows of other tables are left as they are', async () => {
  const { inner, store } = setUp();
  const foreign: StoreTransaction['writes'] = [
    { table: 'servers', part: '', key: 'i-1#1', value: '#3\nsmall' },
  ];
  await store.transact({ expected: [], writes: foreign, deletes: [] });
  const { rows } = (await store.read({ table: 'servers', part: '' })).unsafeCoerce();
  assert.equal(rows, [...inner.rows.values()]);
});

test.run();
