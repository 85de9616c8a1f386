import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { JobState, RunEnd } from '../model/mod.ts';
import type { AcceptedJob } from '../model/mod.ts';
import {
  acceptedJob,
  cellWithWorkers,
  decisionInputs,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import { addJob, endRun } from './jobs.ts';
import { computeRank, Urgency } from './rank.ts';
import { maxStartedTasks } from './_place_step.ts';
import { encodeProgress, restoreProgress } from './records.ts';
import type { JobRecord } from './records.ts';
import { getTaskName, makeCellState } from './state.ts';
import type { CellState, Job, Run } from './state.ts';

const test = suite('records');

function start(state: CellState, nowMs = 0): Run[] {
  return decideStarts(state, decisionInputs({ nowMs, wallMs: nowMs })).starts;
}

function finish(state: CellState, run: Run, end: RunEnd = RunEnd.Done, checkpoint = ''): void {
  endRun(state, run, { end, checkpoint }, { maxAttempts: 3, nowMs: 0 });
}

/** Starts and completes tasks until this many are done; returns their names. */
function completeTasks(state: CellState, count: number): Set<string> {
  const names = new Set<string>();
  while (names.size < count) {
    const starts = start(state);
    assert.ok(starts.length > 0, 'the job goes on');
    starts.slice(0, count - names.size).forEach((run) => {
      names.add(getTaskName(run));
      finish(state, run);
    });
  }
  return names;
}

function restore(job: Job, accepted: AcceptedJob): { state: CellState; job: Job } {
  const state = cellWithWorkers(12, 32_000);
  const restored = addJob(state, accepted, 0);
  const record = JSON.parse(JSON.stringify(encodeProgress(job))) as JobRecord;
  restoreProgress(state, restored, record, { nowMs: 0, lateStartsUntilMs: 0 });
  return { state, job: restored };
}

const threeSteps = [0, 1, 2].map((step) =>
  stepSpec({ count: 150, cpu: 400, after: step > 0 ? [step - 1] : [] }),
);

// Guards against a row that outgrows the store: the progress of a large job listed all done tasks.
test('the stored progress of a large job does not grow with the tasks that are done', () => {
  const accepted = acceptedJob('a', threeSteps, {
    repetition: { count: 8, startAtMs: 0, intervalMs: 0 },
  });
  const state = cellWithWorkers(12, 32_000);
  const job = submit(state, accepted);
  completeTasks(state, 3_590);
  assert.ok(JSON.stringify(encodeProgress(job)).length < 2_000);
});

// Guards against a second run of a task whose end was stored before a takeover.
test('a successor starts only tasks that were neither done nor running', () => {
  const accepted = acceptedJob('a', threeSteps, {
    repetition: { count: 4, startAtMs: 0, intervalMs: 0 },
  });
  for (const doneCount of [1, 149, 150, 450, 777, 1_799]) {
    const state = cellWithWorkers(12, 32_000);
    const job = submit(state, accepted);
    const known = completeTasks(state, doneCount);
    state.workers.forEach(({ runs }) => runs.forEach((run) => known.add(getTaskName(run))));
    const successor = restore(job, accepted);
    const running = [...successor.state.workers.values()].flatMap(({ runs }) => [...runs.values()]);
    assert.is(running.length, known.size - doneCount);
    running.forEach((run) => finish(successor.state, run));
    const started: string[] = [];
    while (successor.job.state !== JobState.Completed) {
      const starts = start(successor.state);
      assert.ok(starts.length > 0, 'the job goes on');
      starts.forEach((run) => {
        started.push(getTaskName(run));
        finish(successor.state, run);
      });
    }
    assert.is(started.filter((name) => known.has(name)).length, 0, `${doneCount} done`);
    assert.is(started.length + known.size, 1_800);
  }
});

test('encoding and restoring progress keeps attempts, failures, done tasks and runs', () => {
  const state = cellWithWorkers(2);
  const accepted = acceptedJob('a', [stepSpec({ count: 4 })]);
  const job = submit(state, accepted);
  const [done, run] = start(state);
  const { tasks } = job.occurrences.get(0)![0]!;
  endRun(state, done!, { end: RunEnd.Done, checkpoint: '' }, { maxAttempts: 3, nowMs: 1 });
  Object.assign(tasks[3]!, { failures: 1, checkpoint: 'c1', runs: [] });
  const record = JSON.parse(JSON.stringify(encodeProgress(job))) as JobRecord;

  const successor = makeCellState();
  const restored = addJob(successor, accepted, 0);
  restoreProgress(successor, restored, record, { nowMs: 100, lateStartsUntilMs: 0 });
  const [step] = restored.occurrences.get(0)!;
  assert.is(step!.remainingTasks, 3);
  assert.is(restored.startedTasks, 3);
  assert.equal(
    step!.tasks.map(({ attempt, failures, isDone, checkpoint }) =>
      isDone ? 'done' : [attempt, failures, checkpoint],
    ),
    ['done', [1, 0, ''], [1, 0, ''], [1, 1, 'c1']],
  );
  assert.is(successor.workers.get(run!.workerId)!.isRegistered, false);
  assert.is(successor.usage.get('mill')!.cpu, 2_000);
});

// Guards against a job given up after one failed attempt, as a successor counts its other members again.
test('the members of a gang that fail in one attempt count once, also across a takeover', () => {
  const accepted = acceptedJob('a', [stepSpec({ count: 3, gang: true })]);
  const state = cellWithWorkers(3);
  const job = submit(state, accepted);
  finish(state, start(state)[0]!, RunEnd.Failed);
  const successor = restore(job, accepted);
  const left = successor.job.occurrences.get(0)![0]!.tasks.flatMap(({ runs }) => runs);
  assert.is(left.length, 2);
  left.forEach((run) => finish(successor.state, run, RunEnd.Failed));
  const [task] = successor.job.occurrences.get(0)![0]!.tasks;
  assert.is(task!.failures, 1);
  const again = start(successor.state, 1_000);
  again.forEach((run) => finish(successor.state, run, RunEnd.Failed));
  assert.is(task!.failures, 2, 'the next attempt counts');
});

// Guards against work that a takeover puts behind other work, though a part of it is done.
test('an occurrence of which only done tasks are stored still counts as started', () => {
  const accepted = acceptedJob('a', [stepSpec(), stepSpec({ after: [0] })], {
    repetition: { count: 1, startAtMs: 0, intervalMs: 0 },
  });
  const state = cellWithWorkers(1);
  const job = submit(state, accepted);
  completeTasks(state, 1);
  const [, second] = restore(job, accepted).job.occurrences.get(0)!;
  const lateMs = accepted.terms.targetFactor * 2_000 + accepted.terms.targetLatencyMs;
  assert.is(computeRank(second!, accepted.terms, lateMs).urgency, Urgency.InTime);
});

// Guards against memory and records that grow for as long as a repeated job goes on.
test('the occurrences of a repeated job are dropped when they are complete', () => {
  const accepted = acceptedJob('a', [stepSpec()], {
    repetition: { count: 1_000_000, startAtMs: 0, intervalMs: 1 },
  });
  const state = cellWithWorkers(12, 32_000);
  const job = submit(state, accepted);
  for (let nowMs = 0; nowMs < 2_000; nowMs += 100) {
    start(state, nowMs).forEach((run) => finish(state, run));
  }
  assert.ok(job.occurrences.size < 200);
  assert.ok(JSON.stringify(encodeProgress(job)).length < 200);
  assert.equal(restore(job, accepted).job.completedOccurrences, job.completedOccurrences);
});

// Guards against a job that takes all memory of the scheduler, as all its occurrences are due at once.
test('a job whose million occurrences are due at once opens them a few at a time', () => {
  const accepted = acceptedJob('a', [stepSpec({ count: 1_000 })], {
    repetition: { count: 1_000_000, startAtMs: 0, intervalMs: 0 },
  });
  const state = cellWithWorkers(12, 32_000);
  const job = submit(state, accepted);
  assert.ok(start(state).length > 0);
  assert.ok(job.occurrences.size <= 20);
});

// Guards against progress that no transaction of the store can hold.
test('a job has at most 6,000 started tasks, and those that were started go first', () => {
  const accepted = acceptedJob('a', [stepSpec({ count: 7_000, cpu: 1, estimatedMs: 1 })]);
  const state = cellWithWorkers(12, 32_000);
  const job = submit(state, accepted);
  const starts = start(state);
  assert.is(starts.length, 6_000);
  assert.ok(JSON.stringify(encodeProgress(job)).length < 600_000);
  starts.slice(0, 10).forEach((run) => finish(state, run, RunEnd.Failed));
  assert.equal(
    start(state, 1_000).map(({ attempt }) => attempt),
    Array(10).fill(2),
  );
});

// Guards against a gang that starts in part, or never again, at the maximum of started tasks.
test('a gang as wide as the maximum of started tasks starts whole, and again after it has ended', () => {
  const accepted = acceptedJob('a', [
    stepSpec({ count: maxStartedTasks, cpu: 1, estimatedMs: 1, gang: true }),
  ]);
  const state = cellWithWorkers(12, 32_000);
  submit(state, accepted);
  const starts = start(state);
  assert.is(starts.length, maxStartedTasks);
  starts.forEach((run) => finish(state, run, RunEnd.Broken));
  assert.is(start(state, 1_000).length, maxStartedTasks);
});

// Guards against a record by which a scheduler never ends loading.
test('malformed ranges of complete occurrences are rejected', () => {
  const accepted = acceptedJob('a', [stepSpec()], {
    repetition: { count: 10, startAtMs: 0, intervalMs: 0 },
  });
  const texts = ['[[3,1]]', '[[1,2],[0,0]]', '[[0,1e300]]', '[[0]]', '[5]', '"x"', '{}'];
  texts.forEach((text) => {
    const job = submit(cellWithWorkers(1), accepted);
    const record = JSON.parse(
      `{"state":"running","occurrences":[],"completed":${text}}`,
    ) as JobRecord;
    assert.throws(
      () => restoreProgress(cellWithWorkers(1), job, record, { nowMs: 0, lateStartsUntilMs: 0 }),
      /ranges/,
      text,
    );
  });
  const job = submit(cellWithWorkers(1), accepted);
  const large: JobRecord = { state: 'running', occurrences: [], completed: [[5, 1e15]] };
  restoreProgress(cellWithWorkers(1), job, large, { nowMs: 0, lateStartsUntilMs: 0 });
  assert.equal(job.completedOccurrences, [[5, 1e15]]);
});

// Guards against checkpoints that make the progress too large; a lost run only starts over.
test('checkpoints beyond a total length are left out of the stored progress', () => {
  const accepted = acceptedJob('a', [stepSpec({ count: 100, checkpointing: true })]);
  const state = cellWithWorkers(12, 32_000);
  const job = submit(state, accepted);
  start(state).forEach((run) => finish(state, run, RunEnd.Stopped, 'x'.repeat(30_000)));
  assert.ok(JSON.stringify(encodeProgress(job)).length < 200_000);
  assert.is(job.occurrences.get(0)![0]!.tasks[99]!.checkpoint.length, 30_000);
  const other = submit(state, acceptedJob('b', [stepSpec({ count: 2, checkpointing: true })]));
  const [large, small] = start(state, 1_000).filter(({ step }) => step.job === other);
  finish(state, large!, RunEnd.Stopped, 'x'.repeat(200_000));
  finish(state, small!, RunEnd.Stopped, 'kept');
  const [[, [tasks]]] = encodeProgress(other).occurrences as unknown as [[number, [unknown[][]]]];
  assert.equal(
    tasks.map((task) => task[4]),
    ['', 'kept'],
    'a large one costs only itself',
  );
});

test.run();
