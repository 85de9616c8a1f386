import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import {
  acceptedJob,
  cellWithWorkers,
  decisionInputs,
  stepSpec,
  submit,
} from '../testing/fake_cell.ts';
import type { StepSpec } from '../model/mod.ts';
import { decideStarts } from './decide.ts';
import { ensureSteps } from './jobs.ts';
import type { CellState } from './state.ts';

const test = suite('jobs set aside');

/** Submits a job and then removes fields of its step, as a malformed row or a defect would. */
function submitMalformed(state: CellState, id: string, fields: (keyof StepSpec)[]): void {
  const job = submit(state, acceptedJob(id, [stepSpec()]));
  const [step] = ensureSteps(job, 0);
  fields.forEach((field) => Object.assign(step!.spec, { [field]: undefined }));
}

test('a job about which no decision can be made does not stop the others', () => {
  const state = cellWithWorkers(2);
  submitMalformed(state, 'no-order', ['after']);
  submitMalformed(state, 'no-need', ['need']);
  submit(state, acceptedJob('good', [stepSpec()]));
  const { starts, failures } = decideStarts(state, decisionInputs());
  assert.equal(
    starts.map(({ step }) => step.job.accepted.id),
    ['good'],
  );
  const failed = new Set(failures.map(({ job }) => job.accepted.id));
  assert.equal([...failed].sort(), ['no-need', 'no-order']);
});

test('a job that was set aside is tried again after a while, not in every pass', () => {
  const state = cellWithWorkers(1);
  submitMalformed(state, 'bad', ['after']);
  const countFailures = (nowMs: number) =>
    decideStarts(state, decisionInputs({ nowMs })).failures.length;
  assert.equal([0, 100, 4_900, 5_100].map(countFailures), [1, 0, 0, 1]);
});

test.run();
