import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { WorkerReport, WorkerClient } from '../model/mod.ts';
import { workerEntry } from '../testing/fake_cell.ts';
import { makeWorkerLink } from './worker_link.ts';

const test = suite('worker link');

/** A promise that never settles. */
const neverSettled = Promise.race<never>([]);

type Renewal = Parameters<WorkerClient['renewLease']>[1];

/** Makes a link whose worker gives the responses in turn; each takes 100 ms of a simulated clock. */
function setUp(responses: (WorkerReport | Rejection | Promise<never>)[]) {
  const abort = new AbortController();
  const renewals: Renewal[] = [];
  const state = {
    fenced: false,
    stored: true,
    neverStores: false,
    mayRenew: true,
    reportedAtMs: 0,
    failsOnce: false,
    errors: 0,
    tokens: 6,
    sessionsEnded: 0,
    reports: 0,
  };
  let nowMs = 0;
  const clock: Clock = {
    ...systemClock,
    now: () => nowMs,
    wallTime: () => 0,
    async sleep(ms) {
      // Lets other pending callbacks run first.
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      nowMs += ms;
    },
  };
  const workers = {
    async renewLease(_worker: unknown, request: Renewal) {
      renewals.push(request);
      nowMs += 100;
      const response = responses.shift();
      if (responses.length === 0) abort.abort();
      return response!;
    },
  } as unknown as WorkerClient;
  const link = makeWorkerLink({
    workers,
    clock,
    entry: () => workerEntry('w1'),
    nextFencingToken() {
      state.tokens += 1;
      return state.tokens;
    },
    leaseMs: () => 4_000,
    maxLeaseMs: 6_000,
    predecessorLeasesEndAtMs: 0,
    mayRenew: () => state.mayRenew,
    onReport() {
      state.reportedAtMs = nowMs;
      state.reports += 1;
      if (state.failsOnce) {
        state.failsOnce = false;
        throw new Error('unexpected');
      }
      return state.neverStores ? neverSettled : Promise.resolve(state.stored);
    },
    isBusy: () => true,
    onSessionEnded() {
      state.sessionsEnded += 1;
    },
    onRenewalFailed: () => undefined,
    onFenced() {
      state.fenced = true;
    },
    onError() {
      state.errors += 1;
    },
  });
  return { link, renewals, state, run: () => link.run(abort.signal), nowMs: () => nowMs };
}

function report(clockMs: number, fields: Partial<WorkerReport> = {}): WorkerReport {
  return { clockMs, incarnationStartMs: 1, running: [], ended: [], hasMoreEnds: false, ...fields };
}

function ended(sequence: number) {
  return { sequence, task: 'a.0.0.0', attempt: 1, end: 'done' as const, checkpoint: '' };
}

test('renewals at an unresponsive worker do not postpone the time at which its leases expire', async () => {
  const silence = Array.from({ length: 60 }, () => Rejection.Unknown);
  const { link, renewals, run, nowMs } = setUp([report(50_000), Rejection.Unknown, ...silence]);
  await run();
  const extending = renewals.filter(({ leaseUntilMs }) => leaseUntilMs !== undefined);
  assert.is(
    extending.length,
    1,
    'only the renewal that was sent before the worker became unresponsive',
  );
  assert.ok(link.leasesExpireAtMs() < nowMs());
  assert.is(link.leaseUntilMs(), undefined, 'no start may be sent with a lease');
});

test('an error while one report is handled does not let the leases on the worker expire', async () => {
  const { renewals, state, run } = setUp([report(0), report(100), report(200)]);
  state.failsOnce = true;
  await run();
  assert.is(state.errors, 1);
  assert.is(renewals.length, 3);
  assert.ok(renewals.slice(1).every(({ leaseUntilMs }) => leaseUntilMs !== undefined));
});

test('ends are confirmed to the worker only after they have been stored', async () => {
  const { renewals, state, run } = setUp([
    report(0, { ended: [ended(3)] }),
    report(100),
    report(200),
  ]);
  state.stored = false;
  await run();
  assert.equal(
    renewals.map(({ lastSeen }) => lastSeen),
    [0, 0, 0],
  );
});

// Guards against a link that polls without a pause, as the worker lists unconfirmed ends at once.
test('ends that are not stored are asked for again only after a pause', async () => {
  const reports = [0, 100, 200].map((clockMs) => report(clockMs, { ended: [ended(3)] }));
  const { state, run, nowMs } = setUp(reports);
  state.stored = false;
  await run();
  assert.ok(nowMs() >= 3 * (100 + 400));
});

test('leases are renewed while the ends cannot be stored', async () => {
  const { renewals, state, run } = setUp([
    report(0, { ended: [ended(1)] }),
    report(500, { ended: [ended(1)] }),
    report(1_000, { ended: [ended(1)] }),
  ]);
  state.neverStores = true;
  await run();
  assert.equal(
    renewals.map(({ lastSeen }) => lastSeen),
    [0, 0, 0],
  );
  assert.ok(renewals.slice(1).every(({ leaseUntilMs }) => leaseUntilMs !== undefined));
});

test('a new incarnation numbers its ends anew', async () => {
  const { renewals, run } = setUp([
    report(0, { ended: [ended(57)] }),
    report(5, { incarnationStartMs: 2 }),
    report(9, { incarnationStartMs: 2, ended: [ended(1)] }),
    report(12, { incarnationStartMs: 2 }),
  ]);
  await run();
  assert.equal(
    renewals.map(({ lastSeen }) => lastSeen),
    [0, 57, 0, 1],
  );
});

test('unread ends of a new incarnation are not confirmed after failed renewals', async () => {
  const { renewals, run } = setUp([
    report(0, { ended: [ended(57)] }),
    Rejection.Unknown,
    report(5, { incarnationStartMs: 2, ended: [ended(1)] }),
    report(9, { incarnationStartMs: 2 }),
  ]);
  await run();
  assert.equal(
    renewals.map(({ lastSeen }) => lastSeen),
    [0, 57, 0, 1],
  );
});

// Guards against a late call to a former incarnation that extends leases, confirms ends or starts a task.
test('the renewal after a missing response carries a higher token, without a lease or confirmed ends', async () => {
  const { renewals, state, run } = setUp([
    report(50_000, { ended: [ended(57)] }),
    Rejection.Unknown,
    Rejection.Unknown,
    report(5, { incarnationStartMs: 2 }),
    report(105, { incarnationStartMs: 2 }),
  ]);
  await run();
  assert.equal(
    renewals.map((renewal) => renewal.fencingToken),
    [7, 7, 8, 8, 8],
  );
  assert.equal(
    renewals.map(({ lastSeen, leaseUntilMs }) => [lastSeen, leaseUntilMs !== undefined]),
    [
      [0, false],
      [57, true],
      [0, false],
      [0, false],
      [0, true],
    ],
  );
  assert.is(state.sessionsEnded, 1);
});

// Guards against a list that counts as complete although orders to the former incarnation may still start.
test('the report of a renewal that was meant for another incarnation is not handled', async () => {
  const { renewals, state, run } = setUp([
    report(50_000),
    report(5, { incarnationStartMs: 2 }),
    report(105, { incarnationStartMs: 2 }),
  ]);
  await run();
  assert.is(state.reports, 2);
  assert.equal(
    renewals.map((renewal) => renewal.fencingToken),
    [7, 7, 8],
  );
});

// Guards against seconds in which a worker that is back has not seen the token that blocks late calls.
test('a new incarnation in the registry ends the session without waiting for the pending renewal', async () => {
  const { link, renewals, state, run } = setUp([
    report(50_000, { incarnationStartMs: 10 }),
    neverSettled,
    report(5, { incarnationStartMs: 20 }),
    report(105, { incarnationStartMs: 20 }),
  ]);
  const running = run();
  while (renewals.length < 2) await systemClock.sleep(1);
  link.recordRegisteredIncarnation(10);
  assert.is(link.fencingToken(), 7);
  link.recordRegisteredIncarnation(20);
  assert.is(link.leaseUntilMs(), undefined);
  await running;
  link.recordRegisteredIncarnation(20);
  assert.is(state.sessionsEnded, 1);
  assert.is(renewals.at(-1)!.fencingToken, 8);
});

// Guards against a run that is given up while an order that the worker carries out late starts it.
test('a late start can run until its order is too old and the longest lease has ended', async () => {
  const { link, run } = setUp([report(50_000), Rejection.Unknown]);
  await run();
  const lastOrderAtMs = 100;
  assert.ok(link.lateStartsExpireAtMs() >= lastOrderAtMs + 12_000 + 6_000);
});

test('a start that reached a new incarnation may run for the longest lease of that worker', async () => {
  const { link, state, run } = setUp([
    report(50_000),
    report(5, { incarnationStartMs: 2 }),
    report(105, { incarnationStartMs: 2 }),
    Rejection.Unknown,
  ]);
  await run();
  assert.ok(state.reportedAtMs > 200, 'the report of the new session');
  assert.ok(link.leasesExpireAtMs() >= state.reportedAtMs + 6_000);
});

test('a start extends no lease once renewals may not, since a successor relies on their expiry', async () => {
  const { link, state, run } = setUp([report(50_000)]);
  await run();
  assert.ok(link.leaseUntilMs() !== undefined);
  const leasesExpireAtMs = link.leasesExpireAtMs();
  state.mayRenew = false;
  assert.is(link.leaseUntilMs(), undefined);
  assert.is(link.leasesExpireAtMs(), leasesExpireAtMs);
});

test('a worker that has seen a higher fencing token ends the term', async () => {
  const { state, run } = setUp([Rejection.Fenced]);
  await run();
  assert.ok(state.fenced);
});

test.run();
