import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, makeVirtualClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeMemoryTable, makeWriter } from './mod.ts';

const memberKey = 'members/m1';

async function setUp() {
  const clock = makeVirtualClock();
  const table = makeMemoryTable({ clock });
  const transactions: number[] = [];
  const countingTable = {
    ...table,
    transact(transaction: Parameters<typeof table.transact>[0]) {
      transactions.push(transaction.writes.length);
      return table.transact(transaction);
    },
  };
  let expelled = 0;
  const onExpelled = () => {
    expelled += 1;
  };
  const random = makeRandom(5);
  const writer = makeWriter({ table: countingTable, clock, random, memberKey, onExpelled });
  const joined = writer.join({ id: 'm1' });
  await clock.advance(10);
  assert.ok((await joined).isRight());
  const value = (key: string) => table.state.read([key])[0]?.value;
  return { clock, table, writer, transactions, value, expelled: () => expelled };
}

function kindOf(outcome: { extract(): unknown }): string {
  return (outcome.extract() as Failure).kind;
}

test('concurrent writes share transactions to stay below the write rate of the service', async () => {
  const { clock, writer, transactions, value } = await setUp();
  const all = Array.from({ length: 100 }, (_, i) =>
    writer.commit({ writes: [{ key: `k${i}`, value: i }] }),
  );
  await clock.advance(10);
  assert.ok((await Promise.all(all)).every((outcome) => outcome.isRight()));
  assert.equal(transactions.slice(1), [64, 38]);
  assert.is(value('k99'), 99);
});

test('a conflicting mutation does not fail the other mutations of its batch', async () => {
  const { clock, writer, value } = await setUp();
  const good = writer.commit({ writes: [{ key: 'a', value: 1 }] });
  const bad = writer.commit({
    checks: [{ key: 'b', version: 9 }],
    writes: [{ key: 'b', value: 2 }],
  });
  await clock.advance(10);
  assert.ok((await good).isRight());
  assert.is(kindOf(await bad), ErrorKind.TableConflict);
  assert.equal(((await bad).extract() as Failure).got, ['b']);
  assert.is(value('b'), undefined);
});

test('mutations that check rows written by one another do not both commit', async () => {
  const { clock, writer } = await setUp();
  const one = writer.commit({
    checks: [{ key: 'x', version: 0 }],
    writes: [{ key: 'y', value: 1 }],
  });
  const two = writer.commit({
    checks: [{ key: 'y', version: 0 }],
    writes: [{ key: 'x', value: 1 }],
  });
  await clock.advance(10);
  assert.ok((await one).isRight());
  assert.is(kindOf(await two), ErrorKind.TableConflict);
});

test('a write whose response was lost is neither repeated nor reported as failed', async () => {
  const { clock, table, writer, value } = await setUp();
  table.faults.lose = 1;
  const outcome = writer.commit({ writes: [{ key: 'a', value: { n: 1 } }], reads: ['a'] });
  await clock.advance(50);
  const commit = (await outcome).unsafeCoerce();
  assert.is(commit.versions.a, table.state.read(['a'])[0]?.version);
  assert.is((value(memberKey) as { sequence: number }).sequence, 2);
});

test('a delayed write cannot commit after its retry and restore an old value', async () => {
  const { clock, table, writer, value } = await setUp();
  table.faults.slowMs = 3_000;
  const first = writer.commit({ writes: [{ key: 'a', value: 'old' }] }, { timeoutMs: 2_000 });
  await clock.advance(1);
  table.faults.slowMs = 0;
  await clock.advance(1_000);
  assert.ok((await first).isRight(), 'the retry after the advanced version succeeds');
  const second = writer.commit({ writes: [{ key: 'a', value: 'new' }] });
  await clock.advance(10);
  assert.ok((await second).isRight());
  await clock.advance(5_000);
  assert.is(value('a'), 'new');
});

test('an unresolved write is not reported as not run, or its caller could run the work twice', async () => {
  const { clock, table, writer, value } = await setUp();
  Object.assign(table.faults, { lose: 1, slowMs: 100 });
  const outcome = writer.commit({ writes: [{ key: 'a', value: 1 }] }, { timeoutMs: 500 });
  await clock.advance(50);
  table.faults.refuse = true;
  assert.ok(writer.isBusy());
  const queued = writer.commit({ writes: [{ key: 'b', value: 1 }] }, { timeoutMs: 500 });
  await clock.advance(600);
  assert.is(kindOf(await outcome), ErrorKind.TableUnknown);
  assert.is(kindOf(await queued), ErrorKind.TableUnavailable);
  table.faults.refuse = false;
  await clock.advance(5_000);
  assert.not(writer.isBusy());
  assert.is(value('a'), 1);
  assert.is(value('b'), undefined);
});

test('an expelled process cannot continue to write and undo the work of its successor', async () => {
  const { clock, table, writer, value, expelled } = await setUp();
  table.state.transact({ operation: 'x', checks: [], writes: [{ key: memberKey }], reads: [] });
  const outcomes = [1, 2].map((n) => writer.commit({ writes: [{ key: 'a', value: n }] }));
  await clock.advance(10);
  assert.equal((await Promise.all(outcomes)).map(kindOf), [ErrorKind.Expelled, ErrorKind.Expelled]);
  assert.is(value('a'), undefined);
  assert.is(expelled(), 1);
  assert.is(kindOf(await writer.commit({})), ErrorKind.Expelled);
  const rejoined = writer.join({ id: 'm2' }, { memberKey: 'members/m2' });
  await clock.advance(10);
  assert.ok((await rejoined).isRight());
});

test('a write that committed before an expulsion is not reported as not run', async () => {
  const { clock, table, writer } = await setUp();
  table.faults.lose = 1;
  const outcome = writer.commit({ writes: [{ key: 'a', value: 1 }] });
  table.faults.slowMs = 100;
  await clock.advance(150);
  table.state.transact({ operation: 'x', checks: [], writes: [{ key: memberKey }], reads: [] });
  await clock.advance(500);
  assert.is(kindOf(await outcome), ErrorKind.TableUnknown);
});

test('a join whose response was lost makes the process a member exactly once', async () => {
  const clock = makeVirtualClock();
  const table = makeMemoryTable({ clock });
  const writer = makeWriter({ table, clock, random: makeRandom(1), memberKey });
  table.faults.lose = 1;
  const joined = writer.join({ id: 'm1' }, { mutation: { writes: [{ key: 'head', value: 1 }] } });
  await clock.advance(2_000);
  assert.ok((await joined).isRight());
  assert.is(writer.memberRow()?.version, table.state.read([memberKey])[0]?.version);
  const left = writer.leave({ mutation: { writes: [{ key: 'head', value: 2 }] } });
  await clock.advance(10);
  assert.ok((await left).isRight());
  assert.equal(table.state.read([memberKey]), [{ key: memberKey, version: 0 }]);
});

test('a leave whose response was lost does not prevent the process from joining again', async () => {
  const { clock, table, writer, value, expelled } = await setUp();
  table.faults.lose = 1;
  const left = writer.leave();
  await clock.advance(1_000);
  assert.is(kindOf(await left), ErrorKind.TableUnknown);
  assert.is(value(memberKey), undefined);
  assert.is(expelled(), 0);
  const rejoined = writer.join({ id: 'm2' }, { memberKey: 'members/m2' });
  await clock.advance(10);
  assert.ok((await rejoined).isRight());
});

test('a join that commits after its timeout does not make the writer use two member ids', async () => {
  const clock = makeVirtualClock();
  const table = makeMemoryTable({ clock });
  const writer = makeWriter({ table, clock, random: makeRandom(1), memberKey });
  table.faults.slowMs = 1_000;
  const late = writer.join({ id: 'm1' }, { timeoutMs: 500 });
  await clock.advance(550);
  assert.is(kindOf(await late), ErrorKind.TableUnknown);
  table.faults.slowMs = 0;
  const rejoined = writer.join({ id: 'm2' }, { memberKey: 'members/m2' });
  await clock.advance(3_000);
  assert.ok((await rejoined).isRight());
  assert.is(writer.memberRow()?.key, 'members/m2');
  const commit = writer.commit({ writes: [{ key: 'a', value: 1 }] });
  await clock.advance(10);
  assert.ok((await commit).isRight());
  assert.is((table.state.read([memberKey])[0]?.value as { sequence: number }).sequence, 1);
});

test('the retry rate is bounded, so that the end of an outage causes no retry storm', async () => {
  const { clock, table, writer, transactions } = await setUp();
  table.faults.refuse = true;
  const before = transactions.length;
  for (let i = 0; i < 60; i++) {
    writer.commit({ reads: ['head'] }, { timeoutMs: 600 }).catch(() => undefined);
    await clock.advance(800);
  }
  const rate = (transactions.length - before) / 48;
  assert.ok(rate < 4, `${rate} attempts a second`);
});

test.run();
