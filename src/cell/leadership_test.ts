import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom, systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { makeFakeStore } from '../testing/fake_store.ts';
import type { FakeStore } from '../testing/fake_store.ts';
import { makeLeadership } from './leadership.ts';
import type { Leadership, WonClaim } from './leadership.ts';

const test = suite('leadership');

/** A clock that runs ten times as fast, so that no test waits for long. */
const speed = 10;
const fastClock: Clock = {
  ...systemClock,
  now: () => systemClock.now() * speed,
  wallTime: () => systemClock.wallTime(),
  sleep: (ms, signal) => systemClock.sleep(ms / speed, signal),
};

function withPolledWatch(store: FakeStore): FakeStore {
  return {
    ...store,
    async watch(table) {
      await systemClock.sleep(2);
      return store.read({ table, part: 'c0' });
    },
  };
}

function startCandidate(
  store: FakeStore,
  name: string,
  signal: AbortSignal,
  mayClaim = () => true,
) {
  const won: WonClaim[] = [];
  const wonAtMs: number[] = [];
  const leadership: Leadership = makeLeadership({
    store: withPolledWatch(store),
    clock: fastClock,
    random: makeRandom(name.length),
    log: silentLogger,
    self: { name, instance: `${name}-1`, address: `${name}:1` },
    claimDelayMs: () => 0,
    isCandidate: () => true,
    mayClaim,
    onClaimWon(claim) {
      won.push(claim);
      wonAtMs.push(fastClock.now());
    },
    onOtherClaim: () => undefined,
  });
  leadership.run(signal).catch(() => undefined);
  return { leadership, won, wonAtMs };
}

async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await systemClock.sleep(2);
}

async function withAbort<Result>(run: (signal: AbortSignal) => Promise<Result>): Promise<Result> {
  const abort = new AbortController();
  try {
    return await run(abort.signal);
  } finally {
    abort.abort();
  }
}

test('of several candidates one wins, and each later claim has a higher epoch', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    const all = ['a', 'b', 'c'].map((name) => startCandidate(store, name, signal));
    const wins = () => all.flatMap(({ won }) => won);
    await waitUntil(() => wins().length > 0);
    assert.is(wins().length, 1);
    // No heartbeat is written, so each scheduler that is reported is considered to have stopped.
    const reporting = setInterval(() => {
      all.forEach(({ leadership }) =>
        leadership.reportUnresponsive(leadership.claim()?.instance ?? ''),
      );
    }, 5);
    await waitUntil(() => wins().length >= 3);
    clearInterval(reporting);
    const epochs = wins().map(({ epoch }) => epoch);
    assert.is(new Set(epochs).size, epochs.length);
    assert.ok(wins().some(({ predecessorMayAct }) => predecessorMayAct));
  }));

test('one scheduler after the other is not replaced before it can load the cell', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    const all = ['a', 'b', 'c'].map((name) => startCandidate(store, name, signal));
    const listWins = () => all.flatMap(({ wonAtMs }) => wonAtMs).sort((a, b) => a - b);
    // Every process finds the scheduler unresponsive all the time, as under overload.
    const reporting = setInterval(() => {
      all.forEach(({ leadership }) =>
        leadership.reportUnresponsive(leadership.claim()?.instance ?? ''),
      );
    }, 2);
    await waitUntil(() => listWins().length >= 4);
    clearInterval(reporting);
    const wonAtMs = listWins();
    const termsMs = wonAtMs.slice(1).map((atMs, index) => atMs - wonAtMs[index]!);
    assert.ok(termsMs[0]! >= 1_800, 'a term is given the time to load');
    assert.ok(termsMs[1]! >= 3_600, 'after one short term the next is given more time');
    assert.ok(termsMs[2]! >= 7_200, 'and after two even more');
  }));

test('a malformed row does not end the election', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    const malformed = ['{', 'null', '[]', '{"epoch":"1"}', '{"epoch":1,"instance":5}', ''];
    const only = startCandidate(store, 'a', signal);
    await waitUntil(() => only.won.length > 0);
    for (const [index, value] of malformed.entries()) {
      await store.transact({
        expected: [],
        writes: [
          { table: 'leadership', part: 'c0', key: 'heartbeat', value },
          { table: 'leadership', part: 'c0', key: 'claim', value },
        ],
        deletes: [],
      });
      await waitUntil(() => only.won.length > index + 1);
    }
    const epochs = only.won.map(({ epoch }) => epoch);
    assert.equal(
      epochs,
      [...epochs].sort((a, b) => a - b),
    );
    assert.is(new Set(epochs).size, epochs.length, 'epochs keep rising');
  }));

test('a claim that is released is won by another process at once', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    let mayClaim = true;
    const first = startCandidate(store, 'a', signal, () => mayClaim);
    await waitUntil(() => first.won.length > 0);
    mayClaim = false;
    const second = startCandidate(store, 'b', signal);
    await first.leadership.resign(1_000);
    await waitUntil(() => second.won.length > 0);
    assert.is(second.won[0]!.epoch, 2);
    assert.is(second.won[0]!.predecessorMayAct, false);
  }));

/** Returns the claim of a candidate after it has made a report about the current scheduler, `a-1`. */
function claimAfterReport(report: (leadership: Leadership) => void): Promise<WonClaim> {
  return withAbort(async (signal) => {
    const store = makeFakeStore();
    const first = startCandidate(store, 'a', signal, () => first.won.length === 0);
    await waitUntil(() => first.won.length > 0);
    const second = startCandidate(store, 'b', signal);
    await waitUntil(() => second.leadership.claim() !== undefined);
    report(second.leadership);
    await waitUntil(() => second.won.length > 0);
    return second.won[0]!;
  });
}

test('a scheduler whose host refuses connections is replaced before its heartbeat times out', async () => {
  const claim = await claimAfterReport((leadership) => leadership.reportConnectionRefused('a-1'));
  assert.is(claim.predecessorMayAct, false);
});

test('a scheduler whose writes the store rejects is replaced at once, and may still renew leases', async () => {
  const claim = await claimAfterReport((leadership) => leadership.reportRejectedByStore('a-1'));
  assert.is(claim.predecessorMayAct, true);
});

test('an unresponsive scheduler is not assumed dead when its successor is replaced soon after', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    const unresponsive = startCandidate(store, 'a', signal, () => unresponsive.won.length === 0);
    await waitUntil(() => unresponsive.won.length > 0);
    const first = startCandidate(store, 'b', signal, () => first.won.length === 0);
    await waitUntil(() => first.leadership.claim() !== undefined);
    first.leadership.reportUnresponsive('a-1');
    await waitUntil(() => first.won.length > 0);
    assert.is(first.won[0]!.predecessorMayAct, true);
    const second = startCandidate(store, 'c', signal);
    await first.leadership.resign(1_000);
    await waitUntil(() => second.won.length > 0);
    assert.is(second.won[0]!.predecessorMayAct, true, 'a may still renew leases');
  }));

test('an unresponsive predecessor is not assumed dead after a claim whose response was lost', () =>
  withAbort(async (signal) => {
    const store = makeFakeStore();
    const unresponsive = startCandidate(store, 'a', signal, () => unresponsive.won.length === 0);
    await waitUntil(() => unresponsive.won.length > 0);
    let isLost = true;
    store.setOutcome(() => {
      const outcome = isLost ? 'unanswered' : 'done';
      isLost = false;
      return outcome;
    });
    const successor = startCandidate(store, 'b', signal);
    await waitUntil(() => successor.leadership.claim() !== undefined);
    successor.leadership.reportUnresponsive('a-1');
    await waitUntil(() => successor.won.length > 0);
    assert.is(successor.won[0]!.epoch, 3);
    assert.is(successor.won[0]!.predecessorMayAct, true);
  }));

test.run();
