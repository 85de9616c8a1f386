import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeVirtualClock } from '../clock/mod.ts';
import type { RenewAnswer, StartRequest } from '../schema/mod.ts';
import { WorkerModel } from './_worker_state.ts';

const size = { processors: 1, memoryMb: 1, accelerators: 0, slots: 1 };

function setUp() {
  const clock = makeVirtualClock();
  const model = new WorkerModel({
    clock,
    id: 'w1',
    capacity: { ...size, processors: 2, slots: 1 },
  });
  const job = (task: string, extra: Partial<StartRequest> = {}): StartRequest => ({
    ...{ task, attempt: 1, epoch: 1, notAfterMs: Infinity, team: 't', job: task, kind: 'batch' },
    ...{ size, idempotent: true, leaseMs: 1_000, body: { runMs: 100_000 } },
    ...extra,
  });
  const state = () => model.list().tasks.map((task) => `${task.task} ${task.state}`);
  return { clock, model, job, state };
}

test('a task whose lease was not renewed would run concurrently with its replacement', async () => {
  const { clock, model, job, state } = setUp();
  assert.ok(model.start(job('a')) instanceof Promise);
  await clock.advance(900);
  await model.renew({ epoch: 1, leaseMs: 1_000 });
  await clock.advance(900);
  assert.equal(state(), ['a running']);
  await clock.advance(101);
  assert.equal(state(), ['a stopped']);
});

test('a renewal that was delayed in the network would extend a lease that its owner considers expired', async () => {
  const { clock, model, job, state } = setUp();
  assert.ok(model.start(job('a')) instanceof Promise);
  const { clockMs } = model.list();
  await clock.advance(900);
  const late = await model.renew({ epoch: 1, leaseMs: 1_000, notAfterMs: clockMs + 800 });
  assert.ok('rejection' in late);
  await clock.advance(101);
  assert.equal(state(), ['a stopped']);
});

test('a full worker that accepts a start would be overloaded', () => {
  const { model, job } = setUp();
  assert.ok(model.start(job('a')) instanceof Promise);
  assert.ok('rejection' in model.start(job('b')));
});

test('an ended task that is dropped before its owner recorded it would run again', async () => {
  const { clock, model, job } = setUp();
  assert.ok(model.start(job('a', { body: { runMs: 50, answer: 7 } })) instanceof Promise);
  const renewal = model.renew({ epoch: 1, leaseMs: 1_000, waitMs: 10_000 });
  await clock.advance(60);
  const { changed } = (await renewal) as RenewAnswer;
  assert.equal(
    changed.map(({ task, state, result }) => [task, state, result]),
    [['a', 'finished', { runMs: 50, answer: 7, worker: 'w1', task: 'a' }]],
  );
  const again = (await model.renew({ epoch: 1, leaseMs: 1_000 })) as RenewAnswer;
  assert.is(again.changed.length, 1);
  const done = await model.renew({ epoch: 1, leaseMs: 1_000, acknowledged: ['a'] });
  assert.is((done as RenewAnswer).changed.length, 0);
});

test('lookups with a sent response that are listed in every renewal would exceed the control traffic budget', async () => {
  const { clock, model, job } = setUp();
  const renewals = [0, 1].map(async (expected) => {
    await clock.sleep(expected * 200);
    const renewal = model.renew({ epoch: 1, leaseMs: 1_000, waitMs: 100 });
    const task = `l${expected}`;
    assert.ok(model.start(job(task, { kind: 'lookup', body: { runMs: 5 } })) instanceof Promise);
    assert.is(((await renewal) as RenewAnswer).changed.length, expected);
  });
  await clock.advance(500);
  await Promise.all(renewals);
});

test('a pending renewal of a former owner would keep its tasks alive', async () => {
  const { clock, model } = setUp();
  const renewal = model.renew({ epoch: 0, leaseMs: 1_000, waitMs: 10_000 });
  model.fence(2);
  await clock.advance(1);
  assert.ok('rejection' in (await renewal));
});

test.run();
