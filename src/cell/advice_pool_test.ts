import { Left, Right } from 'purify-ts';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { makeFailure, ErrorKind } from '../errors/mod.ts';
import { makeAdvicePool } from './advice_pool.ts';

const test = suite('advice pool');

function setUp(hostCount: number) {
  let nowMs = 0;
  let isFailing = false;
  const clock: Clock = { ...systemClock, now: () => nowMs };
  const names = Array.from({ length: hostCount }, (_, index) => `h${index + 1}`);
  const pool = makeAdvicePool({
    clock,
    hosts: () => names,
    askViaHost: async () =>
      isFailing
        ? Left(makeFailure(ErrorKind.PeerUnavailable, 'gone'))
        : Right({ tickets: [], validityMs: 1 }),
  });
  return {
    pool,
    advance(ms: number) {
      nowMs += ms;
    },
    fail() {
      isFailing = true;
    },
  };
}

test('long requests leave hosts to short ones, and a host sends one long request at a time', () => {
  const { pool } = setUp(4);
  const long = [1, 2, 3, 4, 5].map(() => pool.acquire(800)?.host);
  assert.is(new Set(long.slice(0, 2)).size, 2);
  assert.equal(long.slice(2), [undefined, undefined, undefined]);
  const short = pool.acquire(8)!;
  assert.not.ok(long.includes(short.host));
});

test('requests that are not urgent leave half of the hosts idle', () => {
  const { pool } = setUp(4);
  const taken = Array.from({ length: 6 }, () => pool.acquire(8, false)).filter(Boolean);
  assert.is(taken.length, 2);
  assert.ok(pool.acquire(8), 'an urgent request still finds a host');
});

test('short requests do not queue for long at a host', () => {
  const { pool } = setUp(1);
  const taken = Array.from({ length: 30 }, () => pool.acquire(10)).filter(Boolean);
  assert.is(taken.length, 6);
});

test('a slot is released when its request ends, even if the request fails', async () => {
  const { pool, fail, advance } = setUp(1);
  const slot = pool.acquire(800)!;
  assert.is(pool.acquire(800), undefined);
  fail();
  assert.is(await pool.requestTickets(slot, { step: 's', workers: [] }), undefined);
  advance(5_000);
  assert.ok(pool.acquire(800));
});

test('a host whose request failed is avoided for a while if there are others', async () => {
  const { pool, fail, advance } = setUp(2);
  const slot = pool.acquire(8)!;
  fail();
  await pool.requestTickets(slot, { step: 's', workers: [] });
  assert.is.not(pool.acquire(8)!.host, slot.host);
  advance(2_000);
  assert.is(pool.acquire(8)!.host, slot.host);
});

// Guards against a host that gets no more requests since one of them ended unexpectedly.
test('a slot is released when sending its request throws', async () => {
  const pool = makeAdvicePool({
    clock: systemClock,
    hosts: () => ['h1'],
    askViaHost: () => Promise.reject(new Error('unexpected')),
  });
  await pool.requestTickets(pool.acquire(800)!, { step: 's', workers: [] }).catch(() => undefined);
  assert.ok(pool.acquire(800));
});

test.run();
