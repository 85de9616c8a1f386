import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeWorkerHealth } from './mod.ts';
import type { WorkerHealth } from './mod.ts';

const workerNames = Array.from({ length: 10 }, (_, i) => `w${i}`);

function recordHealthyRuns(health: WorkerHealth, now = 0): void {
  workerNames.forEach((worker) => {
    for (let i = 0; i < 10; i++) {
      health.record({ worker, job: `ok-${worker}-${i}`, failed: false, now });
    }
  });
}

test('a worker on which tasks fail quickly does not attract all work', () => {
  const health = makeWorkerHealth();
  recordHealthyRuns(health);
  let taskCount = 0;
  while (health.penalty('w3', 1) < 1 && taskCount < 100) {
    health.record({ worker: 'w3', job: `j${taskCount}`, failed: true, now: 1 });
    taskCount += 1;
  }
  assert.ok(taskCount <= 8, `${taskCount} tasks were given to it`);
  assert.match(health.explain('w3', 2) ?? '', /quarantined/);
});

test('a job that fails on every worker does not quarantine good workers', () => {
  const health = makeWorkerHealth();
  recordHealthyRuns(health);
  for (let round = 0; round < 5; round++) {
    workerNames.forEach((worker, i) =>
      health.record({ worker, job: 'bad', failed: true, now: round * 100 + i }),
    );
  }
  workerNames.forEach((worker) => assert.is(health.penalty(worker, 600), 0, worker));
});

test('a repaired worker gets work again after a probe', () => {
  const health = makeWorkerHealth();
  recordHealthyRuns(health);
  for (let i = 0; i < 10; i++) health.record({ worker: 'w3', job: `j${i}`, failed: true, now: 1 });
  assert.is(health.penalty('w3', 1_000), 1);
  assert.not(health.tryStartProbe('w3', 1_000));
  assert.ok(health.tryStartProbe('w3', 32_000));
  assert.not(health.tryStartProbe('w3', 32_001), 'one probe at a time');
  health.record({ worker: 'w3', job: 'probe', failed: false, now: 33_000 });
  assert.is(health.penalty('w3', 33_001), 0);
});

test('a failed probe lengthens the quarantine of a faulty worker', () => {
  const health = makeWorkerHealth();
  recordHealthyRuns(health);
  for (let i = 0; i < 10; i++) health.record({ worker: 'w3', job: `j${i}`, failed: true, now: 1 });
  health.tryStartProbe('w3', 32_000);
  health.record({ worker: 'w3', job: 'probe', failed: true, now: 33_000 });
  assert.not(health.tryStartProbe('w3', 33_000 + 31_000));
  assert.ok(health.tryStartProbe('w3', 33_000 + 61_000));
});

test('a fault of the whole fleet does not quarantine every worker', () => {
  const health = makeWorkerHealth();
  recordHealthyRuns(health);
  workerNames.forEach((worker) => {
    for (let i = 0; i < 10; i++) {
      health.record({ worker, job: `f-${worker}-${i}`, failed: true, now: 5 });
    }
  });
  const closed = workerNames.filter((worker) => health.penalty(worker, 6) === 1);
  assert.ok(closed.length <= 2, `${closed.length} quarantined`);
});

test.run();
