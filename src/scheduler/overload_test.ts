import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { Configuration } from '../model/mod.ts';
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
import type { CellState } from './state.ts';
import { applyAdvice } from './tickets.ts';

const test = suite('decide under overload');

function pass(state: CellState, nowMs = 0, { config }: { config?: Configuration } = {}) {
  return decideStarts(state, decisionInputs({ nowMs, configuration: config ?? configuration() }));
}

test('too-late steps that no worker can run do not starve other too-late steps', () => {
  const state = cellWithWorkers(1, 4_000);
  const lateMs = 100_000;
  for (let index = 0; index < 40; index++) {
    submit(state, acceptedJob(`wide${index}`, [stepSpec({ cpu: 9_000 })]));
  }
  submit(state, acceptedJob('small', [stepSpec()]));
  const started = [0, 1, 2].flatMap((round) => pass(state, lateMs + round * 100).starts);
  assert.equal(
    started.map(({ step }) => step.job.accepted.id),
    ['small'],
  );
});

test('passes in quick succession do not consider too-late jobs again', () => {
  const state = cellWithWorkers(1, 4_000);
  const lateMs = 100_000;
  for (let index = 0; index < 10; index++) {
    submit(state, acceptedJob(`late${index}`, [stepSpec({ cpu: 9_000 })]));
  }
  for (let index = 0; index < 20; index++) {
    submit(state, acceptedJob(`fresh${index}`, [stepSpec({ cpu: 9_000 })]), lateMs);
  }
  const heldAt = (nowMs: number) => pass(state, nowMs).held.room;
  assert.is(heldAt(lateMs), 30);
  assert.is(heldAt(lateMs + 10), 20, 'only the fresh jobs');
  assert.is(heldAt(lateMs + 100), 30);
});

test('too-late jobs may make advice requests in every pass while no fresh job is pending', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const state = cellWithWorkers(1, 4_000);
  for (let index = 0; index < 10; index++) {
    submit(state, acceptedJob(`late${index}`, [stepSpec()], { inQueue }));
  }
  const urgencies: boolean[] = [];
  let slots = 0;
  const inputs = decisionInputs({
    configuration: configuration([inQueue]),
    acquireAdviceSlot(_expectedMs, isUrgent) {
      urgencies.push(isUrgent);
      slots -= 1;
      return slots >= 0 ? 'slot' : undefined;
    },
  });
  const passAt = (nowMs: number) => decideStarts(state, { ...inputs, nowMs }).adviceRequests.length;
  const requestCounts = [100_000, 100_010, 100_020].map((nowMs) => {
    slots = 2;
    return passAt(nowMs);
  });
  assert.equal(requestCounts, [2, 2, 2]);
  assert.ok(
    urgencies.every((isUrgent) => isUrgent),
    'no more urgent job needs the slots',
  );
});

test('a too-late job is considered as soon as its tickets have arrived', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const config = configuration([inQueue]);
  const state = cellWithWorkers(1, 4_000);
  submit(state, acceptedJob('late', [stepSpec()], { inQueue }));
  const nowMs = 100_000;
  const [request] = pass(state, nowMs, { config }).adviceRequests;
  applyAdvice(state, request!, [['w1', 'ticket']], { validUntilMs: nowMs + 2_000, nowMs });
  assert.is(pass(state, nowMs + 10, { config }).starts.length, 1);
});

test('a backlog of a thousand too-late jobs does not block the advice request of a fresh job', () => {
  const advice = { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 };
  const inQueue = queue({ advice });
  const state = cellWithWorkers(30, 32_000);
  for (let index = 0; index < 1_000; index++) {
    submit(state, acceptedJob(`late${index}`, [stepSpec()], { inQueue }));
  }
  const fresh = submit(state, acceptedJob('fresh', [stepSpec()], { inQueue }));
  const nowMs = 100_000;
  fresh.acceptedAtMs = nowMs;
  const urgencies: boolean[] = [];
  const inputs = decisionInputs({
    nowMs,
    configuration: configuration([inQueue]),
    acquireAdviceSlot(_expectedMs, isUrgent) {
      urgencies.push(isUrgent);
      return isUrgent ? 'slot' : undefined;
    },
  });
  const { adviceRequests, held } = decideStarts(state, inputs);
  assert.equal(
    adviceRequests.map(({ step }) => step.job.accepted.id),
    ['fresh'],
  );
  assert.equal(
    urgencies,
    [true, false],
    'the too-late jobs are skipped after one of them gets no slot',
  );
  assert.is(held.adviceSlot, 1_000);
});

test('an advice request names fewer workers if a larger fraction of them is allowed', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const counts = [0.9, 0.3].map((fraction) => {
    const state = cellWithWorkers(30, 32_000);
    state.allowedFractions.set('batch', fraction);
    submit(state, acceptedJob('a', [stepSpec({ count: 2 })], { inQueue }));
    const { adviceRequests } = pass(state, 0, { config: configuration([inQueue]) });
    return adviceRequests[0]!.workers.length;
  });
  assert.ok(counts[0]! >= 2 && counts[0]! <= 3, String(counts));
  assert.ok(counts[1]! >= 8 && counts[1]! <= 13, String(counts));
});

test('an occurrence that has just come due is urgent even if its job was accepted long ago', () => {
  const state = cellWithWorkers(1, 1_000);
  const repeated = acceptedJob('timed', [stepSpec()]);
  repeated.spec.repetition = { count: 2, startAtMs: 0, intervalMs: 60_000 };
  submit(state, repeated, 0);
  submit(state, acceptedJob('late', [stepSpec()]), 50_000);
  // The first occurrence and the other job are too late; the second occurrence has just come due.
  const { starts } = decideStarts(state, decisionInputs({ nowMs: 60_010, wallMs: 60_010 }));
  assert.equal(
    starts.map(({ step }) => [step.job.accepted.id, step.occurrence]),
    [['timed', 1]],
  );
});

test.run();
