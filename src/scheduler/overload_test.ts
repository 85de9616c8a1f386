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

test('steps that nothing can run do not keep other late steps from ever being tried', () => {
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

test('passes that follow at once do not look again at jobs that can only be late', () => {
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

test('late jobs get calls for tickets in every pass once no fresh job waits', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const state = cellWithWorkers(1, 4_000);
  for (let index = 0; index < 10; index++) {
    submit(state, acceptedJob(`late${index}`, [stepSpec()], { inQueue }));
  }
  const asked: boolean[] = [];
  let slots = 0;
  const inputs = decisionInputs({
    configuration: configuration([inQueue]),
    acquireAdviceSlot(_expectedMs, isUrgent) {
      asked.push(isUrgent);
      slots -= 1;
      return slots >= 0 ? 'slot' : undefined;
    },
  });
  const passAt = (nowMs: number) => decideStarts(state, { ...inputs, nowMs }).adviceRequests.length;
  const calls = [100_000, 100_010, 100_020].map((nowMs) => {
    slots = 2;
    return passAt(nowMs);
  });
  assert.equal(calls, [2, 2, 2]);
  assert.ok(
    asked.every((isUrgent) => isUrgent),
    'nothing more urgent needs the places',
  );
});

test('a late job is looked at as soon as its tickets have come', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const config = configuration([inQueue]);
  const state = cellWithWorkers(1, 4_000);
  submit(state, acceptedJob('late', [stepSpec()], { inQueue }));
  const nowMs = 100_000;
  const [request] = pass(state, nowMs, { config }).adviceRequests;
  applyAdvice(state, request!, [['w1', 'ticket']], { validUntilMs: nowMs + 2_000, nowMs });
  assert.is(pass(state, nowMs + 10, { config }).starts.length, 1);
});

test('a backlog of a thousand late jobs does not keep a call for tickets from a fresh one', () => {
  const advice = { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 };
  const inQueue = queue({ advice });
  const state = cellWithWorkers(30, 32_000);
  for (let index = 0; index < 1_000; index++) {
    submit(state, acceptedJob(`late${index}`, [stepSpec()], { inQueue }));
  }
  const fresh = submit(state, acceptedJob('fresh', [stepSpec()], { inQueue }));
  const nowMs = 100_000;
  fresh.acceptedAtMs = nowMs;
  const asked: boolean[] = [];
  const inputs = decisionInputs({
    nowMs,
    configuration: configuration([inQueue]),
    acquireAdviceSlot(_expectedMs, isUrgent) {
      asked.push(isUrgent);
      return isUrgent ? 'slot' : undefined;
    },
  });
  const { adviceRequests, held } = decideStarts(state, inputs);
  assert.equal(
    adviceRequests.map(({ step }) => step.job.accepted.id),
    ['fresh'],
  );
  assert.equal(asked, [true, false], 'the late ones are passed over after one refused call');
  assert.is(held.adviceSlot, 1_000);
});

test('a call for tickets names as many workers as probably are needed, fewer where more are allowed', () => {
  const inQueue = queue({ advice: { decisionMs: 5, perWorkerMs: 0.1, validityMs: 2_000 } });
  const counts = [0.9, 0.3].map((share) => {
    const state = cellWithWorkers(30, 32_000);
    state.allowedFractions.set('batch', share);
    submit(state, acceptedJob('a', [stepSpec({ count: 2 })], { inQueue }));
    const { adviceRequests } = pass(state, 0, { config: configuration([inQueue]) });
    return adviceRequests[0]!.workers.length;
  });
  assert.ok(counts[0]! >= 2 && counts[0]! <= 3, String(counts));
  assert.ok(counts[1]! >= 8 && counts[1]! <= 13, String(counts));
});

test('an occurrence that is due now is urgent, however long ago its job was accepted', () => {
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
