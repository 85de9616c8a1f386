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

test('capacity is freed only by the end of a run', () => {
  const state = cellWithWorkers(1, 1_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })]));
  const [run] = pass(state).starts;
  assert.is(pass(state).starts.length, 0);
  finish(state, run!);
  assert.is(pass(state).starts.length, 1);
});

test('a gang starts as a whole or not at all, with the same attempt for all members', () => {
  const state = cellWithWorkers(2, 4_000);
  submit(state, acceptedJob('a', [stepSpec({ count: 5, cpu: 2_000, gang: true })]));
  assert.is(pass(state).starts.length, 0, 'capacity for four members is not enough for five');
  addWorker(state, 'w3', { cpu: 4_000 });
  const { starts } = pass(state);
  assert.is(starts.length, 5);
  assert.equal([...new Set(starts.map(({ attempt }) => attempt))], [1]);
});

test('a gang restarts with a higher attempt only after the last member has ended', () => {
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

test('two failed members in one attempt of a gang count as one failure', () => {
  const state = cellWithWorkers(2, 4_000);
  const job = submit(state, acceptedJob('a', [stepSpec({ count: 2, cpu: 2_000, gang: true })]));
  const { starts } = pass(state);
  starts.forEach((run) => finish(state, run, RunEnd.Failed));
  assert.is(job.state, JobState.Running);
});

test('a step waits until all tasks of the steps it depends on are done', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 }), stepSpec({ after: [0] })]));
  const { starts } = pass(state);
  assert.is(starts.length, 2);
  finish(state, starts[0]!);
  assert.is(pass(state).starts.length, 0);
  finish(state, starts[1]!);
  assert.is(pass(state).starts[0]!.step.index, 1);
});

test("nothing starts in evacuated data centres or on draining, unresponsive or other services' workers", () => {
  const state = cellWithWorkers(0);
  addWorker(state, 'w1', { dataCentre: 'south' });
  addWorker(state, 'w2', { isDraining: true });
  addWorker(state, 'w3').isResponsive = false;
  addWorker(state, 'w4').isSynced = false;
  addWorker(state, 'w5').isRegistered = false;
  addWorker(state, 'w6', { service: 'other' });
  submit(state, acceptedJob('a', [stepSpec({ count: 9 })]));
  assert.is(pass(state, 0, { evacuated: ['south'] }).starts.length, 0);
});

test('required labels and the maximum number of tasks per worker are respected', () => {
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

test('the runs of an organisation never exceed its upper limit', () => {
  const state = cellWithWorkers(4);
  const config = configuration();
  config.organisations[0]!.upperLimit = { cpu: 3_500, memoryMb: 0, gpu: 0 };
  submit(state, acceptedJob('a', [stepSpec({ count: 9 })]));
  assert.is(pass(state, 0, { config }).starts.length, 3);
});

test('an occurrence does not start before its due time', () => {
  const state = cellWithWorkers(1);
  const repetition = { count: 2, startAtMs: 1_000, intervalMs: 500 };
  submit(state, acceptedJob('a', [stepSpec()], { repetition }));
  assert.is(pass(state, 0, { wallMs: 999 }).starts.length, 0);
  assert.is(pass(state, 0, { wallMs: 1_000 }).starts.length, 1);
  assert.is(pass(state, 0, { wallMs: 1_500 }).starts[0]!.step.occurrence, 1);
});

test('a cancelled job starts no more tasks, and all its runs have to be stopped', () => {
  const state = cellWithWorkers(1, 2_000);
  const job = submit(state, acceptedJob('a', [stepSpec({ count: 4 })]));
  const { starts } = pass(state);
  assert.equal(cancelJob(state, job, 0), starts);
  starts.forEach((run) => finish(state, run, RunEnd.Stopped));
  assert.is(pass(state).starts.length, 0);
  assert.is(job.state, JobState.Cancelled);
});

test('with advice, a step starts only on workers for which it has a valid ticket', () => {
  const queueWithAdvice = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([queueWithAdvice]);
  const state = cellWithWorkers(3);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })], { inQueue: queueWithAdvice }));
  const first = pass(state, 0, { config });
  assert.is(first.starts.length, 0);
  assert.is(first.adviceRequests[0]!.workers.length, 3);
  assert.is(pass(state, 1, { config }).adviceRequests.length, 0, 'one request at a time');
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

test('a step with expired tickets asks again about the allowed workers and reserves their capacity', () => {
  const queueWithAdvice = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([queueWithAdvice, queue({ name: 'other', priority: 5 })]);
  const state = cellWithWorkers(2, 1_000);
  submit(state, acceptedJob('a', [stepSpec()], { inQueue: queueWithAdvice }));
  const [request] = pass(state, 0, { config }).adviceRequests;
  applyAdvice(state, request!, [['w2', 'ticket']], { validUntilMs: 100, nowMs: 20 });
  const again = pass(state, 500, { config });
  assert.equal(
    again.adviceRequests[0]!.workers.map(({ entry }) => entry.id),
    ['w2'],
  );
  submit(state, acceptedJob('b', [stepSpec({ count: 2 })], { inQueue: config.queues[1] }));
  const others = pass(state, 501, { config }).starts.map(({ workerId }) => workerId);
  assert.equal(others, ['w1'], 'the reserved capacity is not given to other steps');
});

test('an advice request without a response is repeated, but not immediately', () => {
  const queueWithAdvice = queue({ advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 } });
  const config = configuration([queueWithAdvice]);
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()], { inQueue: queueWithAdvice }));
  const [request] = pass(state, 0, { config }).adviceRequests;
  applyAdvice(state, request!, undefined, { validUntilMs: 0, nowMs: 100 });
  assert.is(pass(state, 101, { config }).adviceRequests.length, 0);
  assert.is(pass(state, 1_000, { config }).adviceRequests.length, 1);
});

test('advice requests are made for the most urgent steps, and only while slots are free', () => {
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

test('urgent work is placed first, and work that can no longer be in time last', () => {
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

test('under twice the sustainable load, about half of the jobs finish in time instead of all late', () => {
  const lookups = queue({ name: 'lookups', priority: 0, targetFactor: 1.5, targetLatencyMs: 250 });
  const config = configuration([lookups]);
  const state = cellWithWorkers(4, 2_000);
  const workMs = 1_000;
  const objectiveMs = 1_750;
  const running: { run: Run; endMs: number }[] = [];
  const durationsMs: number[] = [];
  // Eight tasks of one second fit at a time, so eight jobs a second; sixteen a second arrive.
  for (let nowMs = 0; nowMs < 30_000; nowMs += 10) {
    if (nowMs % 60 === 0) {
      submit(state, acceptedJob(`j${nowMs}`, [stepSpec()], { inQueue: lookups }), nowMs);
    }
    const ended = running.filter(({ endMs }) => endMs <= nowMs);
    ended.forEach(({ run }) => finish(state, run, RunEnd.Done, nowMs));
    durationsMs.push(...ended.map(({ run }) => nowMs - run.step.job.acceptedAtMs));
    const stillRunning = running.filter(({ endMs }) => endMs > nowMs);
    running.splice(0, running.length, ...stillRunning);
    pass(state, nowMs, { config }).starts.forEach((run) =>
      running.push({ run, endMs: nowMs + workMs }),
    );
  }
  const inTime = durationsMs.filter((ms) => ms <= objectiveMs).length;
  assert.ok(durationsMs.length > 200, `finished ${durationsMs.length}`);
  assert.ok(inTime > 0.8 * durationsMs.length, `in time ${inTime} of ${durationsMs.length}`);
});

test('best-effort tasks do not start beside latency-sensitive tasks, which would miss their bound', () => {
  const state = cellWithWorkers(2);
  const latencySensitive = stepSpec({ longRunning: true, targetLatencyMs: 50, cpu: 1_000 });
  submit(state, acceptedJob('latencySensitive', [latencySensitive]));
  const [latencySensitiveRun] = pass(state).starts;
  submit(state, acceptedJob('bestEffort', [stepSpec({ count: 4, fillsIdleCapacity: true })]));
  const bestEffortRuns = pass(state).starts;
  assert.is(bestEffortRuns.length, 4);
  assert.ok(bestEffortRuns.every(({ workerId }) => workerId !== latencySensitiveRun!.workerId));
});

test('latency-sensitive tasks avoid workers with best-effort tasks but do not wait in order to do so', () => {
  const state = cellWithWorkers(2, 2_000);
  submit(state, acceptedJob('bestEffort', [stepSpec({ fillsIdleCapacity: true })]));
  const [bestEffort] = pass(state).starts;
  const latencySensitive = stepSpec({
    count: 3,
    longRunning: true,
    targetLatencyMs: 50,
    cpu: 1_000,
  });
  submit(state, acceptedJob('latencySensitive', [latencySensitive]));
  const beside = pass(state).starts.map(({ workerId }) => workerId === bestEffort!.workerId);
  assert.equal(beside, [false, false, true], 'the third fits nowhere else');
});

test.run();
