import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { StepSpec } from '../model/mod.ts';
import { acceptedJob, stepSpec, workerEntry } from '../testing/fake_cell.ts';
import { isServable } from './servable.ts';

const test = suite('servable jobs');

const workers = [4_000, 8_000].map((cpu) => ({ entry: workerEntry('w', { cpu }) }));

function isStepServable(fields: Parameters<typeof stepSpec>[0]): boolean {
  const steps: StepSpec[] = [stepSpec(), stepSpec(fields)];
  return isServable(acceptedJob('a', steps), workers);
}

// Guards against a job that is accepted and waits for ever, since no worker is large enough.
test('a job with a task that is larger than any worker is not servable', () => {
  assert.ok(isStepServable({ cpu: 8_000 }));
  assert.not.ok(isStepServable({ cpu: 8_001 }));
  assert.ok(isStepServable({ cpu: 8_001, fillsIdleCapacity: true }));
});

// Guards against a job that is accepted and waits for ever, since no worker is of the required kind.
test('a job with a label that no worker has is not servable', () => {
  const [label] = workers[0]!.entry.labels;
  assert.ok(isStepServable({ requirement: label! }));
  assert.not.ok(isStepServable({ requirement: 'no such label' }));
});

// Guards against a gang that is accepted and waits for ever, as a job of single tasks would not.
test('a gang that exceeds all workers together is not servable, a wide step is', () => {
  assert.ok(isStepServable({ count: 3, cpu: 4_000, gang: true }));
  assert.not.ok(isStepServable({ count: 4, cpu: 4_000, gang: true }));
  assert.ok(isStepServable({ count: 4, cpu: 4_000 }));
  assert.not.ok(isStepServable({ count: 3, gang: true, maxPerWorker: 1 }));
});

// Guards against refusals while the registry is not known yet, or empty in an outage of the store.
test('without any worker of the service, jobs are servable', () => {
  const [job, unknown] = ['a', 'b'].map((id) => acceptedJob(id, [stepSpec({ cpu: 9_000 })]));
  assert.ok(isServable(job!, []));
  assert.ok(isServable({ ...unknown!, service: 'other' }, workers));
});

test.run();
