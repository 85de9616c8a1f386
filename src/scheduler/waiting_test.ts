import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import {
  acceptedJob,
  cellWithWorkers,
  configuration,
  decisionInputs,
  queue,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import { encodeProgress, restoreProgress } from './records.ts';
import { makeCellState } from './state.ts';
import type { CellState } from './state.ts';
import { applyAdvice } from './tickets.ts';
import { computeWaitTimes } from './waiting.ts';

const test = suite('waits of jobs');

const withAdvice = queue({ advice: { decisionMs: 1, perWorkerMs: 1, validityMs: 2_000 } });

function pass(state: CellState, nowMs: number, hasSlot = true) {
  return decideStarts(
    state,
    decisionInputs({
      nowMs,
      configuration: configuration([withAdvice]),
      acquireAdviceSlot: () => (hasSlot ? 'slot' : undefined),
    }),
  );
}

test('the wait of a job is broken down by reason, since its total would hide the cause', () => {
  const state = cellWithWorkers(1);
  const job = submit(state, acceptedJob('a', [stepSpec()], { inQueue: withAdvice }), 100);
  pass(state, 110, false);
  pass(state, 120, false);
  const [request] = pass(state, 150).adviceRequests;
  pass(state, 160);
  applyAdvice(state, request!, [['w1', 't']], { validUntilMs: 5_000, nowMs: 170 });
  assert.is(pass(state, 175).starts.length, 1);
  assert.equal(computeWaitTimes(job.wait!, 175), { unseen: 10, adviceSlot: 40, advicePending: 25 });
});

test('a job is reported as too late only once, since a report in every pass would flood the log', () => {
  const state = makeCellState();
  const job = submit(state, acceptedJob('a', [stepSpec()], { inQueue: withAdvice }));
  assert.equal(pass(state, 1_000).tooLate, []);
  assert.equal(pass(state, 20_000).tooLate, [job]);
  assert.equal(pass(state, 21_000).tooLate, []);
  assert.equal(computeWaitTimes(job.wait!, 22_000), { unseen: 1_000, room: 21_000 });
});

test('a job that a predecessor has started is not reported as starting again', () => {
  const state = cellWithWorkers(1);
  const accepted = acceptedJob('a', [stepSpec({ count: 2 })]);
  const job = submit(state, accepted);
  decideStarts(state, decisionInputs());
  const successor = cellWithWorkers(1);
  const restored = submit(successor, accepted);
  assert.ok(restored.wait);
  restoreProgress(successor, restored, encodeProgress(job), { nowMs: 0, lateStartsUntilMs: 0 });
  assert.is(restored.wait, undefined);
});

test.run();
