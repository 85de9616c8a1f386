import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { silentLogger } from '../logs/mod.ts';
import { Rejection } from '../model/mod.ts';
import type { WorkerClient } from '../model/mod.ts';
import { decideStarts, RunPhase } from '../scheduler/mod.ts';
import type { Run } from '../scheduler/mod.ts';
import {
  acceptedJob,
  cellWithWorkers,
  configuration,
  decisionInputs,
  queue,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { makeOrderSender, computeOrderTimes } from './_orders.ts';
import { findStartObstacle, StartObstacle } from './_start_conditions.ts';
import type { WorkerLink } from './worker_link.ts';

const test = suite('order sender');

/** Makes a run on the only worker of a cell, and an order sender that uses the given client. */
function setUp(
  workers: Partial<WorkerClient>,
  onRejected: (rejection: Rejection) => void = () => {},
  findObstacle: () => StartObstacle | undefined = () => undefined,
) {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = decideStarts(state, decisionInputs()).starts;
  const orders = makeOrderSender({
    state,
    workers: workers as WorkerClient,
    clock: systemClock,
    log: silentLogger,
    fencingToken: 1,
    findLink: () => ({ leaseUntilMs: () => 1_000 }) as Partial<WorkerLink> as WorkerLink,
    hasEnded: () => false,
    findObstacle,
    onRejected: (_run, rejection) => onRejected(rejection),
    onStarted: () => undefined,
    onFenced: () => undefined,
  });
  return { state, run: run!, orders };
}

test('a stop at a worker that has left the registry waits until its address is known', async () => {
  const asked: string[] = [];
  const { state, run, orders } = setUp({
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

test('a start that was sent is not rejected when its ticket expires before the response', async () => {
  const rejected: Rejection[] = [];
  let sent = 0;
  const { run, orders } = setUp(
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
  const { run, orders } = setUp(
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
  const { run, orders } = setUp(
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
  const { run, orders } = setUp(
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
  const { run, orders } = setUp({
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
  const { run, orders } = setUp(
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
  const { run, orders } = setUp(
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
  const { run, orders } = setUp(
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

test('the conditions of a start are those in force when it is sent', () => {
  const { state, run } = setUp({});
  const worker = state.workers.get(run.workerId)!;
  const upperLimit = (cpu: number) => ({ cpu, memoryMb: 0, gpu: 0 });
  const [organisation] = configuration().organisations;
  const find = ({
    ageMs = 0,
    evacuated = [] as string[],
    service = 'ledger',
    limitCpu = 0,
    isDraining = false,
  }) => {
    worker.entry = { ...worker.entry, isDraining };
    return findStartObstacle(
      {
        state,
        clock: systemClock,
        operatorState: () => ({
          configuration: configuration([queue({ service })], {
            organisations: [{ ...organisation!, upperLimit: upperLimit(limitCpu) }],
          }),
          evacuated: new Set(evacuated),
          currentAtMs: systemClock.now() - ageMs,
        }),
      },
      run,
      worker,
    );
  };
  assert.is(find({}), undefined);
  assert.is(find({ ageMs: 2_000 }), StartObstacle.Stale);
  assert.is(find({ evacuated: ['north'] }), StartObstacle.Evacuated);
  assert.is(find({ service: 'other' }), StartObstacle.Service);
  assert.is(find({ limitCpu: 999 }), StartObstacle.Limit);
  assert.is(find({ limitCpu: 1_000 }), undefined);
  assert.is(find({ isDraining: true }), StartObstacle.Draining);
});

test.run();
