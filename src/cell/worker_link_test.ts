import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Rejection } from '../model/mod.ts';
import { ended, makeTestLink, report } from '../testing/fake_worker_link.ts';

const test = suite('worker link');

test('renewals at an unresponsive worker do not postpone the time at which its leases expire', async () => {
  const silence = Array.from({ length: 60 }, () => Rejection.Unknown);
  const { link, renewals, run, nowMs } = makeTestLink([
    report(50_000),
    Rejection.Unknown,
    ...silence,
  ]);
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
  const { renewals, state, run } = makeTestLink([report(0), report(100), report(200)]);
  state.failsOnce = true;
  await run();
  assert.is(state.errors, 1);
  assert.is(renewals.length, 3);
  assert.ok(renewals.slice(1).every(({ leaseUntilMs }) => leaseUntilMs !== undefined));
});

test('ends are confirmed to the worker only after they have been stored', async () => {
  const { renewals, state, run } = makeTestLink([
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
  const { state, run, nowMs } = makeTestLink(reports);
  state.stored = false;
  await run();
  assert.ok(nowMs() >= 3 * (100 + 400));
});

test('leases are renewed while the ends cannot be stored', async () => {
  const { renewals, state, run } = makeTestLink([
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
  const { renewals, run } = makeTestLink([
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
  const { renewals, run } = makeTestLink([
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

test('a start that reached a new incarnation may run for the longest lease of that worker', async () => {
  const { link, state, run } = makeTestLink([
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
  const { link, state, run } = makeTestLink([report(50_000)]);
  await run();
  assert.ok(link.leaseUntilMs() !== undefined);
  const leasesExpireAtMs = link.leasesExpireAtMs();
  state.mayRenew = false;
  assert.is(link.leaseUntilMs(), undefined);
  assert.is(link.leasesExpireAtMs(), leasesExpireAtMs);
});

test('a worker that has seen a higher fencing token ends the term', async () => {
  const { state, run } = makeTestLink([Rejection.Fenced]);
  await run();
  assert.ok(state.fenced);
});

test.run();
