import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import {
  acceptedJob,
  cellWithWorkers,
  configuration,
  decisionInputs,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import { decideStarts } from './decide.ts';
import type { CellState } from './state.ts';
import { exceedsUpperLimit, isStartWithinLimit } from './upper_limit.ts';

const test = suite('upper limits');

const makeLimit = (cpu: number, memoryMb = 0, gpu = 0) => ({ cpu, memoryMb, gpu });

/** Starts what the limit lets start; returns the number of tasks. */
function countStarts(state: CellState, upperLimit = makeLimit(3_000)): number {
  const { organisations, ...rest } = configuration();
  const limited = organisations.map((organisation) => ({ ...organisation, upperLimit }));
  const inputs = decisionInputs({ configuration: { ...rest, organisations: limited } });
  return decideStarts(state, inputs).starts.length;
}

// Guards against an accepted job that waits for ever, as its organisation's limit was lowered below one task.
[
  { resource: 'CPU', limit: makeLimit(3_000) },
  { resource: 'memory', limit: makeLimit(0, 50) },
].forEach(({ resource, limit }) =>
  test(`a task above its organisation's limit of ${resource} starts, one at a time`, () => {
    const state = cellWithWorkers(4);
    submit(state, acceptedJob('a', [stepSpec({ count: 3, cpu: 4_000 })]));
    assert.is(countStarts(state, limit), 1);
    assert.is(countStarts(state, limit), 0);
  }),
);

// Guards against a limit that is exceeded by more than the one task, or beside much other work.
[
  { usedCpu: 1_500, expectedStarts: 1 },
  { usedCpu: 1_501, expectedStarts: 0 },
].forEach(({ usedCpu, expectedStarts }) =>
  test(`beside ${usedCpu} of 3,000 millicores in use, ${expectedStarts} larger tasks start`, () => {
    const state = cellWithWorkers(4);
    submit(state, acceptedJob('a', [stepSpec({ cpu: 4_000 })]));
    state.usage.set('mill', makeLimit(usedCpu));
    assert.is(countStarts(state), expectedStarts);
  }),
);

// Guards against a gang that waits for ever, or exceeds the limit by more than one task.
[
  { cpu: 1_500, expectedStarts: 3 },
  { cpu: 1_501, expectedStarts: 0 },
].forEach(({ cpu, expectedStarts }) =>
  test(`${expectedStarts} tasks start of a gang of 3 with ${cpu} of 3,000 millicores each`, () => {
    const state = cellWithWorkers(4);
    submit(state, acceptedJob('a', [stepSpec({ count: 3, cpu, gang: true })]));
    assert.is(countStarts(state), expectedStarts);
  }),
);

test('a gang that would exceed the limit of its organisation waits', () => {
  const state = cellWithWorkers(4);
  submit(state, acceptedJob('a', [stepSpec({ count: 4, gang: true })]));
  assert.is(countStarts(state, makeLimit(2_999)), 0, 'by more than one of its tasks');
  state.usage.set('mill', makeLimit(1));
  assert.is(countStarts(state, makeLimit(4_000)), 0, 'beside what runs');
  assert.is(countStarts(state, makeLimit(4_001)), 4);
});

// Guards against a job that is accepted although its organisation's limit never lets it run.
test('a step exceeds a limit with any resource, and a gang with all its tasks together', () => {
  const need = { cpu: 4_000, memoryMb: 100, gpu: 1 };
  const spec = stepSpec({ count: 2, need });
  const gang = { ...spec, gang: true };
  const isAbove = (limit: Parameters<typeof exceedsUpperLimit>[1]) =>
    [spec, gang].map((each) => exceedsUpperLimit(each, limit));
  assert.equal(isAbove(undefined), [false, false]);
  assert.equal(isAbove(makeLimit(0)), [false, false]);
  assert.equal(isAbove(makeLimit(3_999)), [true, true]);
  assert.equal(isAbove(makeLimit(0, 99)), [true, true]);
  assert.equal(isAbove(makeLimit(4_000, 100, 1)), [false, true]);
  assert.equal(isAbove(makeLimit(8_000, 200, 2)), [false, false]);
});

// Guards against an order that is withdrawn as often as it is decided, since its own need exceeds the limit.
test('the order of a task above the limit is sent beside usage within the limit only', () => {
  const state = cellWithWorkers(1);
  const job = submit(state, acceptedJob('a', [stepSpec({ cpu: 4_000 })]));
  assert.is(countStarts(state), 1);
  const [step] = job.occurrences.get(0)!;
  assert.ok(isStartWithinLimit(step!, makeLimit(7_000), makeLimit(3_000)));
  assert.not.ok(isStartWithinLimit(step!, makeLimit(7_001), makeLimit(3_000)));
  assert.not.ok(isStartWithinLimit(step!, makeLimit(4_001), makeLimit(4_000)));
});

test.run();
