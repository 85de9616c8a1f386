import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import {
  acceptedJob,
  cellWithWorkers,
  decisionInputs,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { report } from '../testing/fake_worker_link.ts';
import { decideStarts } from './decide.ts';
import { cancelJob } from './jobs.ts';
import { encodeProgress, restoreProgress } from './records.ts';
import type { JobRecord } from './records.ts';
import { RunPhase } from './state.ts';
import type { CellState, Run } from './state.ts';
import { reconcileReport } from './workers.ts';

const test = suite('runs that may start late');

function start(state: CellState): Run[] {
  return decideStarts(state, decisionInputs()).starts;
}

// Guards against a second run of a task whose first order is carried out by a later incarnation of the worker.
test('a run whose order may be carried out late is not lost with the first list of a session', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = start(state);
  Object.assign(run!, { sends: 1, phase: RunPhase.Ordered, lateStartUntilMs: 100 });
  const countEnds = (sentAtMs: number) => {
    worker.isSynced = false;
    return reconcileReport(worker, report(0), { nowMs: sentAtMs + 5, sentAtMs }).ends.length;
  };
  assert.is(countEnds(50), 0);
  assert.is(countEnds(99), 0);
  assert.is(countEnds(100), 1);
});

// Guards against capacity and limits that a cancelled job holds for seconds.
test('a run of a job that has ended is lost with the list that lacks it, also if it may start late', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  const job = submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = start(state);
  Object.assign(run!, { sends: 1, phase: RunPhase.Stopping, lateStartUntilMs: 100 });
  cancelJob(state, job, 10);
  const { ends } = reconcileReport(worker, report(0), { nowMs: 20, sentAtMs: 15 });
  assert.is(ends.length, 1);
});

// Guards against a restored run that is neither listed nor given up.
test('a restored run that may start late is lost with a later list than the first', () => {
  const state = cellWithWorkers(1);
  const worker = state.workers.get('w1')!;
  submit(state, acceptedJob('a', [stepSpec()]));
  const [run] = start(state);
  Object.assign(run!, { phase: RunPhase.Ordered, isRestored: true, lateStartUntilMs: 100 });
  worker.isSynced = false;
  assert.is(reconcileReport(worker, report(0), { nowMs: 20, sentAtMs: 15 }).ends.length, 0);
  assert.is(reconcileReport(worker, report(0), { nowMs: 120, sentAtMs: 105 }).ends.length, 1);
});

// Guards against a second run after a takeover, by an order of the predecessor that is carried out late.
test('a successor knows which start orders may be carried out late', () => {
  const state = cellWithWorkers(4);
  const accepted = acceptedJob('a', [stepSpec({ count: 4 })]);
  const job = submit(state, accepted);
  const [unsent, unanswered, confirmed, ticketed] = start(state);
  unsent!.phase = RunPhase.Ordered;
  Object.assign(unanswered!, { phase: RunPhase.Stopping, lateStartUntilMs: 70 });
  confirmed!.phase = RunPhase.Running;
  Object.assign(ticketed!, { phase: RunPhase.Ordered, hasTicket: true });
  const record = JSON.parse(JSON.stringify(encodeProgress(job))) as JobRecord;
  const successor = cellWithWorkers(4);
  const restored = submit(successor, accepted);
  restoreProgress(successor, restored, record, { nowMs: 0, lateStartsUntilMs: 90 });
  const runs = restored.occurrences.get(0)![0]!.tasks.flatMap((task) => task.runs);
  assert.equal(
    runs.map(({ lateStartUntilMs }) => lateStartUntilMs),
    [90, 90, -Infinity, -Infinity],
  );
});

test.run();
