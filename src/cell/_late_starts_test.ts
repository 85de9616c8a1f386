import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import { reconcileReport, RunPhase } from '../scheduler/mod.ts';
import { makeOrders } from '../testing/fake_orders.ts';
import { StartObstacle } from './_start_conditions.ts';

const test = suite('start orders that may be carried out late');

/** Longest delay with which a call without a response may be carried out. */
const maxCallDelayMs = 12_000;

/** Makes a clock whose time passes only while somebody sleeps. */
function makeSleepClock(): Clock {
  let nowMs = 0;
  return {
    ...systemClock,
    now: () => nowMs,
    async sleep(ms) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      nowMs += ms;
    },
  };
}

// Guards against a second run by the first copy of a repeated order, which a later incarnation carries out.
test('a start without a ticket is not sent again while its order may still be carried out', async () => {
  const clock = makeSleepClock();
  const sentAtMs: number[] = [];
  const stoppedAtMs: number[] = [];
  const rejected: Rejection[] = [];
  const { run, orders } = makeOrders(
    {
      async start() {
        sentAtMs.push(clock.now());
        return Rejection.Unknown;
      },
      async stop() {
        stoppedAtMs.push(clock.now());
        return undefined;
      },
    },
    (rejection) => rejected.push(rejection),
    undefined,
    { clock },
  );
  await orders.start(run);
  assert.equal(sentAtMs, [0]);
  assert.is(stoppedAtMs.length, 1, 'the attempt is given up once the order is too old');
  assert.ok(stoppedAtMs[0]! >= maxCallDelayMs);
  assert.equal(rejected, [], 'the next list of the worker shows that it does not run');
  assert.is(orders.takeReport().givenUp, 1);
});

// Guards against a wait of seconds where no copy of the order is under way.
[
  { outcome: Rejection.Unsent, reason: 'was certainly not sent' },
  { outcome: Rejection.Unconfirmed, reason: 'got a response that confirms nothing' },
].forEach(({ outcome, reason }) =>
  test(`a start without a ticket whose order ${reason} is sent again`, async () => {
    const clock = makeSleepClock();
    const outcomes = [outcome, undefined];
    const { run, orders } = makeOrders(
      { start: async () => outcomes.shift() },
      undefined,
      undefined,
      { clock },
    );
    await orders.start(run);
    assert.is(run.phase, RunPhase.Running);
    assert.is(run.lateStartUntilMs, -Infinity);
    assert.ok(clock.now() < 1_000);
  }),
);

// Guards against a second attempt beside a start that was withdrawn, and that a later incarnation carries out.
test('a start that is withdrawn without a response may still come late', async () => {
  const clock = makeSleepClock();
  let obstacle: StartObstacle | undefined;
  const { state, run, orders } = makeOrders(
    {
      async start() {
        obstacle = StartObstacle.Evacuated;
        return Rejection.Unknown;
      },
      stop: async () => undefined,
    },
    undefined,
    () => obstacle,
    { clock },
  );
  await orders.start(run);
  assert.is(run.phase, RunPhase.Stopping);
  const worker = state.workers.get(run.workerId)!;
  const countEnds = (sentAtMs: number) => {
    const report = {
      clockMs: 1,
      incarnationStartMs: 2,
      running: [],
      ended: [],
      hasMoreEnds: false,
    };
    return reconcileReport(worker, report, { nowMs: sentAtMs, sentAtMs }).ends.length;
  };
  assert.is(countEnds(maxCallDelayMs - 1), 0);
  assert.is(countEnds(maxCallDelayMs), 1);
});

// Guards against an attempt that is stopped although it runs, as only the worker's list shows it.
test('a start without a response counts as started once the worker has listed the run', async () => {
  const calls: string[] = [];
  const { state, run, orders } = makeOrders(
    {
      async start() {
        calls.push('start');
        const running = [{ task: 'a.0.0.0', attempt: 1, checkpoint: '', percent: 1, usage: 0 }];
        const report = {
          clockMs: 1,
          incarnationStartMs: 1,
          running,
          ended: [],
          hasMoreEnds: false,
        };
        reconcileReport(state.workers.get(run.workerId)!, report, { nowMs: 2, sentAtMs: 1 });
        return Rejection.Unknown;
      },
      async stop() {
        calls.push('stop');
        return undefined;
      },
    },
    undefined,
    undefined,
    { clock: makeSleepClock() },
  );
  await orders.start(run);
  assert.equal(calls, ['start']);
  assert.is(run.lateStartUntilMs, -Infinity);
});

test.run();
