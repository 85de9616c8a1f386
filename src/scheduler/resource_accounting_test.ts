import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import { noResources, RunEnd } from '../model/mod.ts';
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
import type { CellState, Job } from './state.ts';
import { applyAdvice } from './tickets.ts';
import type { PendingAdviceRequest } from './tickets.ts';

const test = suite('resource accounting');

const withAdvice = queue({
  name: 'advised',
  advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 1_000 },
});
const limited = configuration([withAdvice, queue()], {
  organisations: [
    { name: 'mill', keys: [], weight: 1, upperLimit: { cpu: 10_000, memoryMb: 0, gpu: 0 } },
    { name: 'ledger', keys: [], weight: 1, upperLimit: { cpu: 0, memoryMb: 0, gpu: 0 } },
  ],
});

function pass(state: CellState, nowMs: number) {
  return decideStarts(state, decisionInputs({ nowMs, configuration: limited }));
}

function answer(state: CellState, request: PendingAdviceRequest, nowMs: number, validMs = 1_000) {
  const tickets = request.workers.map(({ entry }): [string, string] => [entry.id, 'ticket']);
  applyAdvice(state, request, tickets, { validUntilMs: nowMs + validMs, nowMs });
}

/** Makes a job whose tickets have expired, so that it has a reservation and a request in flight. */
function submitWithReservation(state: CellState): { job: Job; request: PendingAdviceRequest } {
  const job = submit(state, acceptedJob('a', [stepSpec({ count: 2 })], { inQueue: withAdvice }));
  const [first] = pass(state, 0).adviceRequests;
  answer(state, first!, 10, 1);
  const [request] = pass(state, 100).adviceRequests;
  assert.ok(job.occurrences.get(0)![0]!.reservation, 'capacity is reserved');
  return { job, request: request! };
}

function listReserved(state: CellState): number[] {
  return [...state.workers.values()].map(({ reserved }) => reserved.cpu).filter((cpu) => cpu !== 0);
}

// Guards against idle workers beside accepted jobs: a cancelled job kept its reservation (review 3).
test('a job that is cancelled while its tickets are requested gives its reservation back', () => {
  const state = cellWithWorkers(2, 2_000);
  const { job, request } = submitWithReservation(state);
  cancelJob(state, job, 150);
  assert.equal(listReserved(state), []);
  answer(state, request, 200);
  assert.equal(listReserved(state), []);
});

// Guards against the same wait for a job that fails while another of its steps has a reservation.
test('a job that fails gives the reservations of its other steps back', () => {
  const state = cellWithWorkers(2, 2_000);
  submit(state, acceptedJob('a', [stepSpec(), stepSpec()], { inQueue: withAdvice }));
  const [first, second] = pass(state, 0).adviceRequests;
  answer(state, first!, 10, 1_000);
  answer(state, second!, 10, 1);
  const [run] = pass(state, 100).starts;
  assert.is(listReserved(state).length, 1);
  endRun(state, run!, { end: RunEnd.Failed, checkpoint: '' }, { maxAttempts: 1, nowMs: 120 });
  assert.equal(listReserved(state), []);
});

// Guards against a reservation that outlasts its tickets, since its organisation is at its limit.
test('a step that cannot be placed when its tickets arrive gives its reservation back', () => {
  const state = cellWithWorkers(2, 10_000);
  const { request } = submitWithReservation(state);
  submit(state, acceptedJob('b', [stepSpec({ count: 10, cpu: 1_000 })]));
  assert.is(pass(state, 110).starts.length, 10, 'the organisation is at its limit');
  answer(state, request, 200);
  pass(state, 210);
  pass(state, 1_000);
  assert.equal(listReserved(state), []);
});

// Guards against starts beyond the capacity of a worker: what was reserved on the former was given back.
test('a worker that registers anew is not credited with what was reserved before', () => {
  const state = cellWithWorkers(1, 2_000);
  const { request } = submitWithReservation(state);
  const worker = addWorker(state, 'w1', { cpu: 2_000 });
  answer(state, request, 150);
  assert.is(pass(state, 160).starts.length, 2);
  assert.is(worker.free.cpu, 0);
});

/** What the runs and reservations of the state amount to must equal what is held on its workers. */
function assertConsistent(state: CellState, label: string): void {
  const reserved = new Map<string, number>();
  state.reservedSteps.forEach(({ reservation, spec }) =>
    reservation!.workers.forEach((count, { entry }) =>
      reserved.set(entry.id, (reserved.get(entry.id) ?? 0) + count * spec.need.cpu),
    ),
  );
  let usedInTotal = 0;
  state.workers.forEach((worker, id) => {
    const used = [...worker.runs.values()].reduce((sum, { step }) => sum + step.spec.need.cpu, 0);
    usedInTotal += used;
    assert.is(worker.used.cpu, used, `${label}: used on ${id}`);
    assert.is(worker.reserved.cpu, reserved.get(id) ?? 0, `${label}: reserved on ${id}`);
    assert.ok(worker.free.cpu >= 0, `${label}: ${id} is over its capacity`);
  });
  const usage = [...state.usage.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  assert.is(usage, usedInTotal, `${label}: usage of the organisations`);
}

// Guards against anything that is held for a job and not given back, whatever ends it.
test('in random sequences of starts, ends, cancellations and answers, nothing stays held', () => {
  for (let seed = 1; seed <= 150; seed++) {
    const random = makeRandom(seed);
    const pick = <T>(list: T[]): T | undefined => list[Math.floor(random() * list.length)];
    const state = cellWithWorkers(4, 6_000);
    let requests: PendingAdviceRequest[] = [];
    let nowMs = 0;
    const listRunning = () => [...state.workers.values()].flatMap(({ runs }) => [...runs.values()]);
    const finishOne = (end: RunEnd | undefined) => {
      const run = pick(listRunning());
      if (run && end) endRun(state, run, { end, checkpoint: '' }, { maxAttempts: 2, nowMs });
    };
    const runPass = () => requests.push(...pass(state, nowMs).adviceRequests);
    const answerOne = () => {
      const request = pick(requests);
      if (!request) return;
      requests = requests.filter((other) => other !== request);
      if (random() < 0.2) applyAdvice(state, request, undefined, { validUntilMs: 0, nowMs });
      else answer(state, request, nowMs, random() < 0.5 ? 1 : 500);
    };
    const submitOne = (step: number) =>
      submit(
        state,
        acceptedJob(
          `${seed}-${step}`,
          [
            stepSpec({ count: 1 + Math.floor(random() * 4), gang: random() < 0.3 }),
            stepSpec({ count: 2, after: random() < 0.5 ? [0] : [] }),
          ],
          {
            inQueue: random() < 0.7 ? withAdvice : queue(),
            organisation: random() < 0.5 ? 'mill' : 'ledger',
          },
        ),
        nowMs,
      );
    for (let step = 0; step < 120; step++) {
      nowMs += Math.floor(random() * 120);
      const action = random();
      if (action < 0.15) submitOne(step);
      else if (action < 0.25)
        cancelJob(state, pick([...state.activeJobs]) ?? submitOne(step), nowMs);
      else if (action < 0.45) answerOne();
      else if (action < 0.65) finishOne(pick([RunEnd.Done, RunEnd.Failed, RunEnd.Broken]));
      else runPass();
      assertConsistent(state, `seed ${seed}, step ${step}`);
    }
    while (requests.length > 0) answerOne();
    state.activeJobs.forEach((job) => cancelJob(state, job, nowMs));
    listRunning().forEach((run) =>
      endRun(state, run, { end: RunEnd.Stopped, checkpoint: '' }, { maxAttempts: 2, nowMs }),
    );
    state.workers.forEach(({ used, reserved, expectedCpu }) => {
      assert.equal([used, reserved], [noResources, noResources], `seed ${seed}`);
      assert.ok(Math.abs(expectedCpu) < 0.001, `seed ${seed}`);
    });
  }
});

test.run();
