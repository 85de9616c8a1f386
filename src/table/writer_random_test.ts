import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, makeVirtualClock, pickIndex } from '../clock/mod.ts';
import { ErrorKind, hasNotRun } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { makeMemoryTable, makeRetryBudget, makeTableState, makeWriter } from './mod.ts';

const runs = Number(process.env.WRITER_RUNS ?? 300);
const key = 'members/m1';

/** Commits at random under random faults; returns each outcome and how often it was applied. */
async function runOnce(seed: number) {
  const random = makeRandom(seed);
  const clock = makeVirtualClock();
  const inner = makeTableState();
  const applied = new Map<string, number>();
  const state: typeof inner = {
    ...inner,
    transact(transaction) {
      const result = inner.transact(transaction);
      if ('commit' in result) {
        transaction.writes.forEach((write) => {
          applied.set(write.key, (applied.get(write.key) ?? 0) + 1);
        });
      }
      return result;
    },
  };
  const table = makeMemoryTable({ clock, state });
  const budget = makeRetryBudget({ clock, capacity: 50 });
  const writer = makeWriter({ table, clock, random, memberKey: key, budget });
  const joined = writer.join({ id: 'm1' }, { timeoutMs: 60_000 });
  await clock.advance(1);
  await joined;

  const outcomes: { name: string; failure?: Failure; versions?: Record<string, number> }[] = [];
  const expelAt = random() < 0.3 ? pickIndex(random, 100) : Infinity;
  const commits: Promise<unknown>[] = [];
  for (let step = 0; step < 100; step++) {
    Object.assign(table.faults, {
      slowMs: random() < 0.3 ? pickIndex(random, 3_000) : pickIndex(random, 5),
      refuse: random() < 0.1,
      fail: random() < 0.1,
      lose: random() < 0.1 ? 1 : 0,
    });
    if (step === expelAt) {
      inner.transact({ operation: 'x', checks: [], writes: [{ key }], reads: [] });
    }
    const name = `k${step}`;
    // Some mutations share a row, so that conflicts and split batches occur.
    const shared = { key: 'shared', version: inner.read(['shared'])[0]?.version ?? 0 };
    const touchesShared = random() < 0.3;
    const commit = writer.commit(
      {
        checks: touchesShared ? [shared] : [],
        writes: [
          { key: name, value: step },
          ...(touchesShared ? [{ key: 'shared', value: step }] : []),
        ],
      },
      { timeoutMs: 500 + pickIndex(random, 4_000) },
    );
    commits.push(
      commit.then((outcome) => {
        const failure = outcome.isLeft() ? outcome.extract() : undefined;
        const versions = outcome.map((done) => done.versions).orDefault({});
        outcomes.push({ name, failure, versions });
      }),
    );
    await clock.advance(pickIndex(random, 200));
  }
  Object.assign(table.faults, { slowMs: 0, refuse: false, fail: false, lose: 0 });
  await clock.advance(30_000);
  await Promise.all(commits);
  return { outcomes, applied, busy: writer.isBusy(), state: inner, expelled: expelAt < 100 };
}

test('random faults never make a reported outcome untrue', async () => {
  const kinds = new Map<string, number>();
  for (let seed = 1; seed <= runs; seed++) {
    const { outcomes, applied, busy, state, expelled } = await runOnce(seed);
    assert.not(busy, `seed ${seed}: the writer is still busy`);
    assert.is(outcomes.length, 100);
    outcomes.forEach(({ name, failure, versions }) => {
      const times = applied.get(name) ?? 0;
      const label = `seed ${seed}: ${name} ${failure?.kind ?? 'committed'} applied ${times} times`;
      kinds.set(failure?.kind ?? 'committed', (kinds.get(failure?.kind ?? 'committed') ?? 0) + 1);
      assert.ok(times <= 1, label);
      if (!failure) {
        assert.is(times, 1, label);
        assert.is(versions?.[name], state.read([name])[0]?.version, label);
      } else if (hasNotRun(failure)) assert.is(times, 0, label);
      if (!expelled) assert.is.not(failure?.kind, ErrorKind.Expelled, label);
    });
  }
  const expected = [
    'committed',
    ErrorKind.TableConflict,
    ErrorKind.TableUnavailable,
    ErrorKind.TableUnknown,
  ];
  [...expected, ErrorKind.Expelled].forEach((kind) => {
    assert.ok((kinds.get(kind) ?? 0) > 0, `no run had the outcome ${kind}`);
  });
});

test.run();
