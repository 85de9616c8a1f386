import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { JobState, RunEnd } from '../model/mod.ts';
import type { Configuration } from '../model/mod.ts';
import {
  acceptedJob,
  addWorker,
  cellWithWorkers,
  configuration,
  decisionInputs,
  queue,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import { cancelJob, endRun } from './jobs.ts';
import type { CellState, Run } from './state.ts';
import { applyAdvice } from './tickets.ts';

const test = suite('decide');

function pass(
  state: CellState,
  nowMs = 0,
  options: { config?: Configuration; evacuated?: string[]; wallMs?: number } = {},
) {
  const inputs = decisionInputs({
    nowMs,
    wallMs: options.wallMs ?? 0,
    configuration: options.config ?? configuration(),
    evacuated: new Set(options.evacuated ?? []),
  });
  return decideStarts(state, inputs);
}

function finish(state: CellState, run: Run, end: RunEnd = RunEnd.Done, nowMs = 0) {
  return endRun(state, run, { end, checkpoint: '' }, { maxAttempts: 2, nowMs });
}

test('a worker is never given more than its capacity', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 20, cpu: 1_500 })]));
  assert.is(pass(state).starts.length, 4);
  assert.is(pass(state).starts.length, 0);
});

test('room becomes free only with the end of a run', () => {
  const state = cellWithWorkers(1, 1_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })]));
  const [run] = pass(state).starts;
  assert.is(pass(state).starts.length, 0);
  finish(state, run!);
  assert.is(pass(state).starts.length, 1);
});

test('a gang starts whole or not at all, with one attempt for all', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 5, cpu: 2_000, gang: true })]));
  assert.is(pass(state).starts.length, 0, 'four places are not enough for five');
  addWorker(state, 'w3', { cpu: 4_000 });
  const { starts } = pass(state);
  assert.is(starts.length, 5);
  assert.equal([...new Set(starts.map(({ attempt }) => attempt))], [1]);
});

test('a gang starts again with a higher attempt only when no member is left', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 2, cpu: 2_000, gang: true })]));
  const { starts } = pass(state);
  const { runsToStop } = finish(state, starts[0]!, RunEnd.Stopped);
  assert.equal(runsToStop, [starts[1]]);
  assert.is(pass(state).starts.length, 0);
  finish(state, starts[1]!, RunEnd.Broken);
  assert.equal(
    pass(state).starts.map(({ attempt }) => attempt),
    [2, 2],
  );
});

test('two failed members of one attempt of a gang count as one failure', () => {
  const state = cellWithWorkers(2, 4_000);
  const job = submit(state, acceptedJob('a', [stepSpec({ count: 2, cpu: 2_000, gang: true })]));
  const { starts } = pass(state);
  starts.forEach((run) => finish(state, run, RunEnd.Failed));
  assert.is(job.state, JobState.Running);
});

test('a step waits until all tasks of the steps before it are done', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 }), stepSpec({ after: [0] })]));
  const { starts } = pass(state);
  assert.is(starts.length, 2);
  finish(state, starts[0]!);
  assert.is(pass(state).starts.length, 0);
  finish(state, starts[1]!);
  assert.is(pass(state).starts[0]!.step.index, 1);
});

test('nothing starts in an evacuated data centre, on draining or silent workers, or for others', () => {
  const state = cellWithWorkers(0);
  addWorker(state, 'w1', { dataCentre: 'south' });
  addWorker(state, 'w2', { draining: true });
  addWorker(state, 'w3').isAnswering = false;
  addWorker(state, 'w4').isSynced = false;
  addWorker(state, 'w5').isRegistered = false;
  addWorker(state, 'w6', { service: 'other' });
  submit(state, acceptedJob('a', [stepSpec({ count: 9 })]));
  assert.is(pass(state, 0, { evacuated: ['south'] }).starts.length, 0);
});

test('labels, and the most tasks of a step on a worker, are kept', () => {
  const state = cellWithWorkers(3);
  addWorker(state, 'w4', { labels: ['fast', 'r1-2'] });
  submit(state, acceptedJob('a', [stepSpec({ count: 2, requirement: 'fast' })]));
  submit(state, acceptedJob('b', [stepSpec({ count: 8, maxPerWorker: 1 })]));
  const { starts } = pass(state);
  const byJob = (id: string) => starts.filter(({ step }) => step.job.accepted.id === id);
  assert.ok(byJob('a').every(({ workerId }) => workerId === 'w4'));
  assert.is(byJob('a').length, 2);
  assert.is(new Set(byJob('b').map(({ workerId }) => workerId)).size, byJob('b').length);
  assert.is(byJob('b').length, 4);
});

test('an organisation never has more running than its upper limit', () => {
  const state = cellWithWorkers(4);
  const config = configuration();
  config.organisations[0]!.upperLimit = { cpu: 3_500, memoryMb: 0, gpu: 0 };
  submit(state, acceptedJob('a', [stepSpec({ count: 9 })]));
  assert.is(pass(state, 0, { config }).starts.length, 3);
});

test('a gang that would exceed the limit of its organisation waits', () => {
  const state = cellWithWorkers(4);
  const config = configuration();
  config.organisations[0]!.upperLimit = { cpu: 3_500, memoryMb: 0, gpu: 0 };
  submit(state, acceptedJob('a', [stepSpec({ count: 4, gang: true })]));
  assert.is(pass(state, 0, { config }).starts.length, 0);
});

test('an occurrence does not start before its time', () => {
  const state = cellWithWorkers(1);
  const repetition = { count: 2, startAtMs: 1_000, intervalMs: 500 };
  submit(state, acceptedJob('a', [stepSpec()], { repetition }));
  assert.is(pass(state, 0, { wallMs: 999 }).starts.length, 0);
  assert.is(pass(state, 0, { wallMs: 1_000 }).starts.length, 1);
  assert.is(pass(state, 0, { wallMs: 1_500 }).starts[0]!.step.occurrence, 1);
});

test('a cancelled job is not started, and all its runs are to be stopped', () => {
  const state = cellWithWorkers(1, 2_000);
  const job = submit(state, acceptedJob('a', [stepSpec({ count: 4 })]));
  const { starts } = pass(state);
  assert.equal(cancelJob(state, job, 0), starts);
  starts.forEach((run) => finish(state, run, RunEnd.Stopped));
  assert.is(pass(state).starts.length, 0);
  assert.is(job.state, JobState.Cancelled);
});

test('with advice, a step starts only on workers for which it has a ticket that is valid', () => {
  const advised = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([advised]);
  const state = cellWithWorkers(3);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })], { inQueue: advised }));
  const first = pass(state, 0, { config });
  assert.is(first.starts.length, 0);
  assert.is(first.adviceRequests[0]!.workers.length, 3);
  assert.is(pass(state, 1, { config }).adviceRequests.length, 0, 'one call at a time');
  applyAdvice(state, first.adviceRequests[0]!, [['w2', 'ticket']], {
    validUntilMs: 1_000,
    nowMs: 20,
  });
  const { starts } = pass(state, 21, { config });
  assert.equal(
    starts.map(({ workerId }) => workerId),
    ['w2', 'w2'],
  );
});

test('a step whose tickets have run out asks again for the allowed workers and holds their room', () => {
  const advised = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([advised, queue({ name: 'other', priority: 5 })]);
  const state = cellWithWorkers(2, 1_000);
  submit(state, acceptedJob('a', [stepSpec()], { inQueue: advised }));
  const [request] = pass(state, 0, { config }).adviceRequests;
  applyAdvice(state, request!, [['w2', 'ticket']], { validUntilMs: 100, nowMs: 20 });
  const again = pass(state, 500, { config });
  assert.equal(
    again.adviceRequests[0]!.workers.map(({ entry }) => entry.id),
    ['w2'],
  );
  submit(state, acceptedJob('b', [stepSpec({ count: 2 })], { inQueue: config.queues[1] }));
  const others = pass(state, 501, { config }).starts.map(({ workerId }) => workerId);
  assert.equal(others, ['w1'], 'the held room is not given away');
});

test('an unanswered call for tickets is repeated, but not at once', () => {
  const advised = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([advised]);
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()], { inQueue: advised }));
  const [request] = pass(state, 0, { config }).adviceRequests;
  applyAdvice(state, request!, undefined, { validUntilMs: 0, nowMs: 100 });
  assert.is(pass(state, 101, { config }).adviceRequests.length, 0);
  assert.is(pass(state, 1_000, { config }).adviceRequests.length, 1);
});

test('calls for tickets go to the most urgent steps, and only as many as the service takes', () => {
  const advice = { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 };
  const urgent = queue({ name: 'urgent', priority: 0, advice });
  const heavy = queue({ name: 'heavy', priority: 1, advice });
  const state = cellWithWorkers(2);
  submit(state, acceptedJob('h', [stepSpec()], { inQueue: heavy }));
  submit(state, acceptedJob('u', [stepSpec()], { inQueue: urgent }));
  let slots = 1;
  const inputs = decisionInputs({
    configuration: configuration([urgent, heavy]),
    acquireAdviceSlot() {
      slots -= 1;
      return slots >= 0 ? slots : undefined;
    },
  });
  const { adviceRequests } = decideStarts(state, inputs);
  assert.equal(
    adviceRequests.map(({ step }) => step.job.accepted.id),
    ['u'],
  );
});

test('urgent work goes first, and work that can no longer be in time goes last', () => {
  const urgent = queue({ name: 'urgent', priority: 0 });
  const config = configuration([urgent, queue()]);
  const state = cellWithWorkers(1, 1_000);
  submit(state, acceptedJob('old', [stepSpec()], { inQueue: urgent }), -60_000);
  submit(state, acceptedJob('batch', [stepSpec()]));
  submit(state, acceptedJob('urgent', [stepSpec()], { inQueue: urgent }));
  const order: string[] = [];
  for (let i = 0; i < 3; i++) {
    const [run] = pass(state, 0, { config }).starts;
    order.push(run!.step.job.accepted.id);
    finish(state, run!);
  }
  assert.equal(order, ['urgent', 'batch', 'old']);
});

test('under twice the load that fits, about half is served in time, rather than all of it late', () => {
  const lookups = queue({ name: 'lookups', priority: 0, targetFactor: 1.5, targetLatencyMs: 250 });
  const config = configuration([lookups]);
  const state = cellWithWorkers(4, 2_000);
  const workMs = 1_000;
  const objectiveMs = 1_750;
  const running: { run: Run; endMs: number }[] = [];
  const latenessMs: number[] = [];
  // Eight tasks fit at a time, so eight jobs a second; sixteen arrive.
  for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
    if (nowMs % 60 === 0) {
      submit(state, acceptedJob(`j${nowMs}`, [stepSpec()], { inQueue: lookups }), nowMs);
    }
    const ended = running.filter(({ endMs }) => endMs <= nowMs);
    ended.forEach(({ run }) => finish(state, run, RunEnd.Done, nowMs));
    latenessMs.push(...ended.map(({ run }) => nowMs - run.step.job.acceptedAtMs));
    const going = running.filter(({ endMs }) => endMs > nowMs);
    running.splice(0, running.length, ...going);
    pass(state, nowMs, { config }).starts.forEach((run) =>
      running.push({ run, endMs: nowMs + workMs }),
    );
  }
  const inTime = latenessMs.filter((ms) => ms <= objectiveMs).length;
  assert.ok(latenessMs.length > 200, `served ${latenessMs.length}`);
  assert.ok(inTime > 0.8 * latenessMs.length, `in time ${inTime} of ${latenessMs.length}`);
});

test('filling tasks do not start beside serving tasks, which would then miss their bound', () => {
  const state = cellWithWorkers(2);
  const serving = stepSpec({ longRunning: true, targetLatencyMs: 50, cpu: 1_000 });
  submit(state, acceptedJob('serving', [serving]));
  const [served] = pass(state).starts;
  submit(state, acceptedJob('filling', [stepSpec({ count: 4, fillsIdleCapacity: true })]));
  const fills = pass(state).starts;
  assert.is(fills.length, 4);
  assert.ok(fills.every(({ workerId }) => workerId !== served!.workerId));
});

test('serving tasks keep away from filling ones, but do not wait for their sake', () => {
  const state = cellWithWorkers(2, 2_000);
  submit(state, acceptedJob('filling', [stepSpec({ fillsIdleCapacity: true })]));
  const [filling] = pass(state).starts;
  const serving = stepSpec({ count: 3, longRunning: true, targetLatencyMs: 50, cpu: 1_000 });
  submit(state, acceptedJob('serving', [serving]));
  const beside = pass(state).starts.map(({ workerId }) => workerId === filling!.workerId);
  assert.equal(beside, [false, false, true], 'the third has no other place');
});

test.run();
