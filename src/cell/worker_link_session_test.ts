import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import { ended, makeTestLink, neverSettled, report } from '../testing/fake_worker_link.ts';

const test = suite('worker link sessions');

// Guards against a late call to a former incarnation that extends leases, confirms ends or starts a task.
test('the renewal after a missing response carries a higher token, without a lease or confirmed ends', async () => {
  const { renewals, state, run } = makeTestLink([
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
  const { renewals, state, run } = makeTestLink([
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
  const { link, renewals, state, run } = makeTestLink([
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

// Guards against ends of a new incarnation that are confirmed unread, as nothing was sent for a while.
test('the renewal after a pause confirms no ends and carries a higher token', async () => {
  const { renewals, state, run } = makeTestLink([
    report(50_000, { ended: [ended(57)] }),
    report(5, { incarnationStartMs: 2, ended: [ended(1)] }),
    report(105, { incarnationStartMs: 2 }),
  ]);
  state.mayRenew = true;
  state.onReportOnce = () => {
    state.mayRenew = false;
    setTimeout(() => {
      state.mayRenew = true;
    }, 20);
  };
  await run();
  assert.equal(
    renewals.map(({ fencingToken, lastSeen }) => [fencingToken, lastSeen]),
    [
      [7, 0],
      [8, 0],
      [8, 1],
    ],
  );
});

// Guards against a run that is given up while an order that the worker carries out late starts it.
test('a late start can run until its order is too old and the longest lease has ended', async () => {
  const { link, run } = makeTestLink([report(50_000), Rejection.Unknown]);
  await run();
  const lastOrderAtMs = 100;
  assert.ok(link.lateStartsExpireAtMs() >= lastOrderAtMs + 12_000 + 6_000);
});

/** Opens a session with an incarnation whose clock shows 50 s, and sends an order in it. */
async function openOrder() {
  const { link, state, run, nowMs } = makeTestLink([report(50_000), neverSettled]);
  run().catch(() => undefined);
  while (state.reports < 1) await systemClock.sleep(1);
  return { link, state, nowMs, session: link.openOrder() };
}

// Guards against a start in an incarnation that has not reported yet, counted with the lease of the former one.
test('a response with an earlier clock ends the session and counts as the longest lease', async () => {
  const { link, state, session, nowMs } = await openOrder();
  assert.is(link.confirmResponse(session, 60), false);
  assert.is(state.sessionsEnded, 1);
  assert.is(link.leaseUntilMs(), undefined);
  assert.is(link.newestIncarnationMs(), Infinity);
  assert.ok(link.leasesExpireAtMs() >= nowMs() + 6_000);
});

// Guards against sessions that end for no reason, which costs a renewal and delays starts.
test('a clock that runs 2% slow, or none, is no sign of another incarnation', async () => {
  const { link, state, session, nowMs } = await openOrder();
  const elapsedMs = nowMs() - state.reportedAtMs;
  assert.ok(link.confirmResponse(session, 50_000 + elapsedMs * 0.98));
  assert.ok(link.confirmResponse(session, undefined));
  assert.is(state.sessionsEnded, 0);
});

// Guards against an order that counts as carried out although the next session's list may lack it.
test('a response to an order of an earlier session confirms nothing', async () => {
  const { link, state, session } = await openOrder();
  link.recordRegisteredIncarnation(2);
  assert.is(state.sessionsEnded, 1);
  assert.is(link.confirmResponse(session, 51_000), false);
  assert.is(state.sessionsEnded, 1);
  assert.is(link.newestIncarnationMs(), 2);
});

// Guards against late calls to a new incarnation that are not waited for, as its first sign came too late.
test('an earlier clock in a response that arrives after its session shows a new incarnation', async () => {
  const { link, state, session, nowMs } = await openOrder();
  link.recordRegisteredIncarnation(2);
  assert.is(link.confirmResponse(session, 60), false);
  assert.is(state.sessionsEnded, 1);
  assert.is(link.newestIncarnationMs(), Infinity);
  assert.ok(link.leasesExpireAtMs() >= nowMs() + 6_000);
});

// Guards against late calls to a new incarnation that are not waited for, as it did not open a session.
test('a report of another incarnation to which the renewal was not sent shows that incarnation', async () => {
  const { link, run } = makeTestLink([
    report(50_000),
    report(5, { incarnationStartMs: 2 }),
    Rejection.Unknown,
  ]);
  await run();
  assert.is(link.newestIncarnationMs(), Infinity);
});

// Guards against a second run while the first one, whose response was lost, holds the longest lease.
test('a start without a response may have the longest lease from its timeout on', async () => {
  const { link, nowMs } = await openOrder();
  link.leaseUntilMs();
  assert.ok(link.uncertainStartsExpireAtMs() >= nowMs() + 900 + 6_000);
  assert.ok(link.uncertainStartsExpireAtMs() < link.lateStartsExpireAtMs());
});

test.run();
