import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, makeVirtualClock } from '../clock/mod.ts';
import { makeInvariantChecker, throwOnViolation } from '../invariants/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeSettings } from '../settings/mod.ts';
import { makeMemoryTable, makeTableState, makeWriter } from '../table/mod.ts';
import type { Table } from '../table/mod.ts';
import { Phase, makeMembership } from './mod.ts';

function makeMember() {
  const clock = makeVirtualClock();
  const random = makeRandom(5);
  const state = makeTableState();
  let beforeScan = () => {};
  const memory = makeMemoryTable({ clock, state });
  const table: Table = {
    ...memory,
    scan(prefix, options) {
      if (prefix === 'members/') beforeScan();
      return memory.scan(prefix, options);
    },
  };
  const write = (key: string, value?: unknown) =>
    state.transact({ operation: 'test', checks: [], writes: [{ key, value }], reads: [] });
  const invariants = makeInvariantChecker({ onViolation: throwOnViolation });
  const settings = makeSettings({ table, invariants, log: silentLogger });
  let joins = 0;
  const membership = makeMembership({
    ...{ table, settings, clock, random },
    writer: makeWriter({ table, clock, random, memberKey: 'members/none' }),
    peers: () => {
      throw new Error('there is no peer');
    },
    identify() {
      joins += 1;
      return { id: `m-${joins}`, address: '', port: 1, dataCentre: 'd', region: 'r' };
    },
  });
  const setBeforeScan = (hook: () => void) => {
    beforeScan = hook;
  };
  return { clock, state, write, membership, setBeforeScan };
}

test('a member that sees its expulsion before its writer does joins again', async () => {
  const { clock, state, write, membership, setBeforeScan } = makeMember();
  const stop = new AbortController();
  const done = membership.run(stop.signal);
  await clock.advance(3_000);
  assert.is(membership.phase(), Phase.Full);
  const id = membership.id();
  // The row is deleted after the heartbeat that shows a newer membership and before the scan.
  setBeforeScan(() => {
    setBeforeScan(() => {});
    write(`members/${id}`);
  });
  const [head] = state.read(['head']);
  write('head', { ...(head?.value as object), membership: 9 });
  await clock.advance(15_000);
  assert.is.not(membership.id(), id);
  assert.is(membership.phase(), Phase.Full);
  stop.abort();
  await clock.advance(5_000);
  await done;
});

test.run();
