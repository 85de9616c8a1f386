import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { Rejection } from '../model/mod.ts';
import { RunPhase } from '../scheduler/mod.ts';
import type { Run } from '../scheduler/mod.ts';
import { makeOrders } from '../testing/fake_orders.ts';
import type { OrderOutcomes } from '../testing/fake_orders.ts';
import { StartObstacle } from './_start_conditions.ts';
import { computeOrderTimes } from './_start_report.ts';

const test = suite('order sender');

/** Makes orders for a run with a ticket, whose start is repeated until there is a response. */
function makeTicketedOrders(
  outcomes: OrderOutcomes,
  onRejected?: (rejection: Rejection) => void,
): ReturnType<typeof makeOrders> {
  return makeOrders(outcomes, onRejected, undefined, { hasTicket: true });
}

test('a stop at a worker that has left the registry waits until its address is known', async () => {
  const asked: string[] = [];
  const { state, run, orders } = makeOrders({
    async stop({ address }) {
      asked.push(address);
      return undefined;
    },
  });
  const worker = state.workers.get(run.workerId)!;
  const { entry } = worker;
  worker.entry = { ...entry, address: '' };
  const stopping = orders.stop(run, 'job cancelled');
  await systemClock.sleep(10);
  assert.equal(asked, []);
  worker.entry = entry;
  await stopping;
  assert.equal(asked, [entry.address]);
});

// Guards against a term that ends itself, as the worker rejects an order of an earlier session.
test('an order that is fenced off because its session has ended is sent again in the next one', async () => {
  const tokens: number[] = [];
  const link = { token: 1 };
  let fenced = 0;
  const { run, orders } = makeOrders(
    {
      async start(_worker, { fencingToken }) {
        tokens.push(fencingToken);
        if (tokens.length > 1) return undefined;
        link.token = 2;
        return Rejection.Fenced;
      },
    },
    undefined,
    undefined,
    {
      getToken: () => link.token,
      onFenced() {
        fenced += 1;
      },
    },
  );
  await orders.start(run);
  assert.equal(tokens, [1, 2]);
  assert.is(fenced, 0);
});

// Guards against a start that no report can tell from a lost one.
test('no start is sent to a worker whose list of runs is not complete', async () => {
  let sent = 0;
  const { state, run, orders } = makeOrders({
    async start() {
      sent += 1;
      return undefined;
    },
  });
  const worker = state.workers.get(run.workerId)!;
  worker.isSynced = false;
  const starting = orders.start(run);
  await systemClock.sleep(10);
  assert.is(sent, 0);
  worker.isSynced = true;
  await starting;
  assert.is(sent, 1);
});

// Guards against a load line that cannot tell a late process from one whose orders are rejected.
test('the counts of start orders tell what became of them, and start anew', async () => {
  const outcomes = [Rejection.Unknown, Rejection.NoRoom];
  const { run, orders } = makeTicketedOrders({
    start: async () => outcomes.shift(),
    stop: async () => undefined,
  });
  await orders.start(run);
  const noOrders = { sent: 0, unanswered: 0, givenUp: 0, rejected: 0, notSent: 0 };
  assert.equal(orders.takeReport(), { ...noOrders, sent: 2, unanswered: 1, rejected: 1 });
  assert.equal(orders.takeReport(), noOrders);
});

test('a start that was sent is not rejected when its ticket expires before the response', async () => {
  const rejected: Rejection[] = [];
  let sent = 0;
  const { run, orders } = makeTicketedOrders(
    {
      async start() {
        sent += 1;
        return sent > 1 ? undefined : Rejection.Unknown;
      },
    },
    (rejection) => rejected.push(rejection),
  );
  const ticket = { value: 't', incarnationStartMs: 1, validUntilMs: systemClock.now() + 30 };
  run.step.advice.tickets.set(run.workerId, ticket);
  await orders.start(run);
  assert.equal(rejected, []);
  assert.is(sent, 2, 'the same start is sent again, which is idempotent');
});

test('a run that its worker has listed is not stopped because its repeated start is rejected', async () => {
  const outcomes: unknown[] = [];
  let sent = 0;
  const { run, orders } = makeOrders(
    {
      async start() {
        sent += 1;
        if (sent > 1) return Rejection.Unhealthy;
        // The response is lost; then the worker lists the run, and its ticket expires.
        run.phase = RunPhase.Running;
        setTimeout(() => {
          run.isStartUncertain = false;
        }, 20);
        return Rejection.Unknown;
      },
      async stop() {
        outcomes.push('stopped');
        return undefined;
      },
    },
    (rejection) => outcomes.push(rejection),
  );
  const ticket = { value: 't', incarnationStartMs: 1, validUntilMs: systemClock.now() + 30 };
  run.step.advice.tickets.set(run.workerId, ticket);
  await orders.start(run);
  assert.equal(outcomes, []);
  assert.is(sent, 1);
  assert.is(run.phase, RunPhase.Running);
});

test('further starts of a step are not sent without the ticket that expired for the first one', async () => {
  const rejected: Rejection[] = [];
  let sent = 0;
  const { run, orders } = makeOrders(
    {
      async start() {
        sent += 1;
        return undefined;
      },
    },
    (rejection) => {
      rejected.push(rejection);
      run.step.advice.tickets.delete(run.workerId);
    },
  );
  run.step.advice.asked.set(run.workerId, 1);
  run.step.advice.tickets.set(run.workerId, { value: 't', incarnationStartMs: 1, validUntilMs: 0 });
  await orders.start(run);
  await orders.start(run);
  assert.equal(rejected, [Rejection.Ticket, Rejection.Ticket]);
  assert.is(sent, 0);
});

/** Sends a start to a worker that responds as given; returns the rejections and stopped attempts. */
async function sendStart(answer: (run: Run) => Rejection) {
  const rejected: Rejection[] = [];
  const stopped: number[] = [];
  const { run, orders } = makeOrders(
    {
      start: async () => answer(run),
      async stop(_worker, { attempt }) {
        stopped.push(attempt);
        return undefined;
      },
    },
    (rejection) => rejected.push(rejection),
  );
  await orders.start(run);
  return { rejected, stopped };
}

test('a run that was listed and ended before its start is repeated is not considered lost', async () => {
  const { rejected, stopped } = await sendStart((run) => {
    if (run.phase === RunPhase.Running) return Rejection.Superseded;
    // The response is lost; the worker lists the run and ends it before the start is repeated.
    run.phase = RunPhase.Running;
    setTimeout(() => {
      run.isStartUncertain = false;
    }, 20);
    return Rejection.Unknown;
  });
  assert.equal(rejected, [], 'the next report of the worker shows how it ended');
  assert.equal(stopped, [], 'it is known to have started');
});

test('a run that is listed and ends while its start is repeated is not considered lost', async () => {
  let sent = 0;
  const { rejected, stopped } = await sendStart((run) => {
    sent += 1;
    if (sent === 1) return Rejection.Unknown;
    // The response was lost; the worker lists the run and ends it while the start is repeated.
    run.phase = RunPhase.Running;
    run.isStartUncertain = false;
    return Rejection.Superseded;
  });
  assert.equal(rejected, [], 'the next report of the worker shows how it ended');
  assert.equal(stopped, [1]);
});

test('the log distinguishes a start sent late or repeatedly from one with a late response', async () => {
  let sent = 0;
  const { run, orders } = makeTicketedOrders({
    async start() {
      sent += 1;
      return sent === 1 ? Rejection.Unknown : undefined;
    },
  });
  run.orderedAtMs = systemClock.now() - 1_000;
  assert.equal(computeOrderTimes(run, run.orderedAtMs + 5), { afterMs: 5, sends: 0 });
  run.storedAtMs = run.orderedAtMs + 40;
  await orders.start(run);
  const { storedAfterMs, sentAfterMs, sends } = computeOrderTimes(run, systemClock.now());
  assert.is(storedAfterMs, 40);
  assert.ok(sentAfterMs! >= 1_000);
  assert.is(sends, 2);
});

test('a start that was decided before an evacuation is not sent after it', async () => {
  const outcomes: unknown[] = [];
  const { run, orders } = makeOrders(
    {
      async start() {
        outcomes.push('sent');
        return undefined;
      },
    },
    (rejection) => outcomes.push(rejection),
    () => StartObstacle.Evacuated,
  );
  await orders.start(run);
  assert.equal(outcomes, [Rejection.Late]);
});

test('an unanswered start is not sent again after an evacuation, and cannot take effect later', async () => {
  const calls: string[] = [];
  let obstacle: StartObstacle | undefined;
  const { run, orders } = makeOrders(
    {
      async start() {
        calls.push('start');
        obstacle = StartObstacle.Evacuated;
        return Rejection.Unknown;
      },
      async stop() {
        calls.push('stop');
        return undefined;
      },
    },
    () => calls.push('rejected'),
    () => obstacle,
  );
  await orders.start(run);
  assert.equal(calls, ['start', 'stop']);
});

test('no start is sent while the operator state may be stale, as after a pause of the process', async () => {
  const sentAtMs: number[] = [];
  const freshAtMs = systemClock.now() + 200;
  const { run, orders } = makeOrders(
    {
      async start() {
        sentAtMs.push(systemClock.now());
        return undefined;
      },
    },
    () => undefined,
    () => (systemClock.now() < freshAtMs ? StartObstacle.Stale : undefined),
  );
  await orders.start(run);
  assert.is(sentAtMs.length, 1);
  assert.ok(sentAtMs[0]! >= freshAtMs);
});

test.run();
