import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { RunEnd } from '../model/mod.ts';
import type { WorkerReport } from '../model/mod.ts';
import {
  acceptedJob,
  addWorker,
  cellWithWorkers,
  decisionInputs,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import { countPendingJobs } from './jobs.ts';
import { getRunKey, getTaskName, makeCellState, RunPhase } from './state.ts';
import type { CellState, Run } from './state.ts';
import {
  findStalledRuns,
  mayStartInIncarnation,
  reconcileReport,
  updateWorkerBackoff,
} from './workers.ts';

const test = suite('workers');

function startAll(state: CellState): Run[] {
  const { starts } = decideStarts(state, decisionInputs());
  starts.forEach((run) => {
    run.phase = RunPhase.Running;
  });
  return starts;
}

function makeReport(fields: Partial<WorkerReport> = {}): WorkerReport {
  return {
    clockMs: 0,
    incarnationStartMs: 1,
    running: [],
    ended: [],
    hasMoreEnds: false,
    ...fields,
  };
}

function makeRunningRun(run: Run, percent = 0) {
  return { task: getTaskName(run), attempt: run.attempt, checkpoint: '', percent, usage: 0 };
}

function makeEndedRun(run: Run) {
  return { ...makeRunningRun(run), sequence: 1, end: RunEnd.Done };
}

test('an unlisted run of an earlier incarnation is lost, a listed run of the current one is not', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })]));
  const [first, second] = startAll(state);
  second!.incarnationStartMs = 2;
  const worker = state.workers.get('w1')!;
  const { ends } = reconcileReport(
    worker,
    makeReport({ incarnationStartMs: 2, running: [makeRunningRun(second!)] }),
    {
      nowMs: 10,
      sentAtMs: 5,
    },
  );
  assert.equal(
    ends.map(({ run, end }) => [run, end]),
    [[first, RunEnd.Expired]],
  );
});

test('a start order that reached the next incarnation of its worker does not count as lost', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec({ count: 3 })]));
  const [running, done, inFlight] = startAll(state);
  const worker = state.workers.get('w1')!;
  inFlight!.isStartUncertain = true;
  const { ends, unknownRuns } = reconcileReport(
    worker,
    makeReport({
      incarnationStartMs: 2,
      running: [makeRunningRun(running!)],
      ended: [makeEndedRun(done!)],
    }),
    { nowMs: 10, sentAtMs: 5 },
  );
  assert.equal(
    ends.map(({ run, end }) => [getTaskName(run), end]),
    [[getTaskName(done!), RunEnd.Done]],
  );
  assert.is(unknownRuns.length, 0);
  assert.is(running!.incarnationStartMs, 2);
  assert.is(inFlight!.incarnationStartMs, 2);
});

test('a start order in flight when the report was made does not count as lost', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = startAll(state);
  const worker = state.workers.get('w1')!;
  Object.assign(run!, { progressAtMs: 100 });
  assert.is(reconcileReport(worker, makeReport(), { nowMs: 120, sentAtMs: 90 }).ends.length, 0);
  Object.assign(run!, { isStartUncertain: true });
  assert.is(reconcileReport(worker, makeReport(), { nowMs: 220, sentAtMs: 200 }).ends.length, 0);
  Object.assign(run!, { isStartUncertain: false });
  assert.is(reconcileReport(worker, makeReport(), { nowMs: 320, sentAtMs: 300 }).ends.length, 1);
});

test('a successor treats runs that are not in the first complete list as never started', () => {
  const state = cellWithWorkers(0);
  const worker = addWorker(state, 'w1');
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })]));
  const [kept, lost] = startAll(state);
  [kept, lost].forEach((run) => {
    Object.assign(run!, { phase: RunPhase.Ordered, isRestored: true });
  });
  worker.isSynced = false;
  const { ends } = reconcileReport(worker, makeReport({ running: [makeRunningRun(kept!)] }), {
    nowMs: 10,
    sentAtMs: 5,
  });
  assert.equal(
    ends.map(({ run }) => run),
    [lost],
  );
  assert.ok(worker.isSynced);
});

// Guards against a second run of a task: its first start was fenced off, or only waits to be sent.
test('the first list of a new session ends the runs that were ordered before and are not in it', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  submit(state, acceptedJob('a', [stepSpec({ count: 4 })]));
  const [listed, confirmed, unanswered, unsent] = startAll(state);
  [listed!, confirmed!, unanswered!].forEach((run) => Object.assign(run, { sends: 1 }));
  Object.assign(confirmed!, { progressAtMs: 8 });
  Object.assign(unanswered!, { phase: RunPhase.Ordered, isStartUncertain: true });
  Object.assign(unsent!, { phase: RunPhase.Ordered });
  worker.isSynced = false;
  const report = makeReport({ incarnationStartMs: 2, running: [makeRunningRun(listed!)] });
  const { ends } = reconcileReport(worker, report, { nowMs: 10, sentAtMs: 5 });
  assert.equal(
    ends.map(({ run }) => getTaskName(run)),
    [confirmed!, unanswered!].map(getTaskName),
  );
  assert.is(listed!.incarnationStartMs, 2);
  assert.is(unsent!.incarnationStartMs, 2);
});

// Guards against a task that is started elsewhere while a late order starts it on a reborn worker.
test('only a start that may have been sent in vain can take effect in an incarnation not yet seen', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec({ count: 4 })]));
  const [confirmed, unanswered, repeated, restored] = startAll(state);
  confirmed!.sends = 1;
  Object.assign(unanswered!, { sends: 1, isStartUncertain: true });
  repeated!.sends = 2;
  restored!.isRestored = true;
  const runs = [confirmed!, unanswered!, repeated!, restored!];
  assert.equal(
    runs.map((run) => mayStartInIncarnation(run, 2)),
    [false, true, true, true],
  );
  assert.not.ok(
    runs.some((run) => mayStartInIncarnation(run, 1)),
    'the incarnation is known',
  );
});

test('a run whose end may be on a later page of the report does not count as lost', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  submit(state, acceptedJob('a', [stepSpec({ count: 2 })]));
  const [first, second] = startAll(state);
  Object.assign(second!, { phase: RunPhase.Ordered, isRestored: true });
  worker.isSynced = false;
  const page = { incarnationStartMs: 2, hasMoreEnds: true, ended: [makeEndedRun(first!)] };
  const { ends } = reconcileReport(worker, makeReport(page), { nowMs: 10, sentAtMs: 5 });
  assert.equal(
    ends.map(({ run }) => run),
    [first],
  );
  assert.not.ok(worker.isSynced, 'nothing is placed on a worker whose list is incomplete');
  worker.runs.delete(getRunKey(first!));
  const next = reconcileReport(worker, makeReport({ incarnationStartMs: 2 }), {
    nowMs: 20,
    sentAtMs: 15,
  });
  assert.equal(
    next.ends.map(({ run, end }) => [run, end]),
    [[second, RunEnd.Expired]],
  );
  assert.ok(worker.isSynced);
});

test('listed runs that the scheduler did not order are returned', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  const unknownRun = { task: 'x.0.0.0', attempt: 1, checkpoint: '', percent: 0, usage: 0 };
  const { unknownRuns } = reconcileReport(worker, makeReport({ running: [unknownRun] }), {
    nowMs: 1,
    sentAtMs: 0,
  });
  assert.is(unknownRuns[0]!.task, 'x.0.0.0');
});

test('a gang member that waits for the others does not count as stalled', () => {
  const state = cellWithWorkers(2);
  submit(state, acceptedJob('a', [stepSpec({ count: 2, gang: true })]));
  const [waiting, working] = startAll(state);
  Object.assign(waiting!, { percent: 99, progressAtMs: 0 });
  Object.assign(working!, { percent: 70, progressAtMs: 9_000 });
  const reportAt = (reportedAtMs: number) =>
    state.workers.forEach((worker) =>
      Object.assign(worker, { isResponsive: true, reportedAtMs, observedSinceMs: 0 }),
    );
  reportAt(10_000);
  assert.is(findStalledRuns(state, 2_500).length, 0);
  reportAt(12_000);
  assert.is(findStalledRuns(state, 2_500).length, 2);
});

/** Starts a run and reports its progress at the given times; returns the number of stalled runs after each. */
function countStalledAfterReports(reports: { atMs: number; percent: number }[]): number[] {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = startAll(state);
  return reports.map(({ atMs, percent }) => {
    const report = makeReport({ running: [makeRunningRun(run!, percent)] });
    reconcileReport(worker, report, { nowMs: atMs, sentAtMs: atMs - 1 });
    return findStalledRuns(state, 2_500).length;
  });
}

test('a run that stands still while its worker reports counts as stalled', () => {
  const reports = [0, 1_000, 2_000, 3_000].map((atMs) => ({ atMs, percent: 7 }));
  assert.equal(countStalledAfterReports(reports), [0, 0, 0, 1]);
});

test('a run on a worker that was silent or paused for a while is not given up', () => {
  const silent = [0, 1_000, 4_600, 5_600, 6_600].map((atMs) => ({ atMs, percent: 7 }));
  assert.equal(countStalledAfterReports(silent), [0, 0, 0, 0, 0]);
});

test('a run on a worker whose reports come late is not given up', () => {
  const late = [0, 2_400, 4_800, 7_200].map((atMs, index) => ({ atMs, percent: 10 * index }));
  assert.equal(countStalledAfterReports(late), [0, 0, 0, 0]);
});

test('each consecutive failure prolongs the backoff of a worker until one of its runs is done', () => {
  const worker = addWorker(makeCellState(), 'w1');
  updateWorkerBackoff(worker, RunEnd.Failed, 0);
  assert.is(worker.backoffUntilMs, 0);
  updateWorkerBackoff(worker, RunEnd.Failed, 0);
  const once = worker.backoffUntilMs;
  updateWorkerBackoff(worker, RunEnd.Failed, 0);
  assert.ok(worker.backoffUntilMs > once && once > 0);
  updateWorkerBackoff(worker, RunEnd.Done, 0);
  assert.is(worker.consecutiveFailures, 0);
});

test('a job is pending until a worker has confirmed a start, even if a start was ordered', () => {
  const state = cellWithWorkers(1);
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = startAll(state);
  assert.equal([...countPendingJobs(state)], [['batch', 1]], 'a start order may never arrive');
  const worker = state.workers.get('w1')!;
  reconcileReport(worker, makeReport({ running: [makeRunningRun(run!)] }), {
    nowMs: 20,
    sentAtMs: 10,
  });
  assert.equal([...countPendingJobs(state)], []);
});

test.run();
