import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeWorkerHealth } from './mod.ts';
import type { WorkerHealth } from './mod.ts';

const names = Array.from({ length: 10 }, (_, i) => `w${i}`);

function healthyRuns(health: WorkerHealth, now = 0): void {
  names.forEach((worker) => {
    for (let i = 0; i < 10; i++) {
      health.record({ worker, job: `ok-${worker}-${i}`, failed: false, now });
    }
  });
}

test('a worker that fails quickly would draw all work', () => {
  const health = makeWorkerHealth();
  healthyRuns(health);
  let given = 0;
  while (health.penalty('w3', 1) < 1 && given < 100) {
    health.record({ worker: 'w3', job: `j${given}`, failed: true, now: 1 });
    given += 1;
  }
  assert.ok(given <= 8, `${given} tasks were given to it`);
  assert.match(health.explain('w3', 2) ?? '', /quarantined/);
});

test('a job that fails on every worker would quarantine good workers', () => {
  const health = makeWorkerHealth();
  healthyRuns(health);
  for (let round = 0; round < 5; round++) {
    names.forEach((worker, i) =>
      health.record({ worker, job: 'bad', failed: true, now: round * 100 + i }),
    );
  }
  names.forEach((worker) => assert.is(health.penalty(worker, 600), 0, worker));
});

test('a repaired worker would never get work again without a probe', () => {
  const health = makeWorkerHealth();
  healthyRuns(health);
  for (let i = 0; i < 10; i++) health.record({ worker: 'w3', job: `j${i}`, failed: true, now: 1 });
  assert.is(health.penalty('w3', 1_000), 1);
  assert.not(health.tryStartProbe('w3', 1_000));
  assert.ok(health.tryStartProbe('w3', 32_000));
  assert.not(health.tryStartProbe('w3', 32_001), 'one probe at a time');
  health.record({ worker: 'w3', job: 'probe', failed: false, now: 33_000 });
  assert.is(health.penalty('w3', 33_001), 0);
});

test('a failed probe would bring a bad worker back at the same pace', () => {
  const health = makeWorkerHealth();
  healthyRuns(health);
  for (let i = 0; i < 10; i++) health.record({ worker: 'w3', job: `j${i}`, failed: true, now: 1 });
  health.tryStartProbe('w3', 32_000);
  health.record({ worker: 'w3', job: 'probe', failed: true, now: 33_000 });
  assert.not(health.tryStartProbe('w3', 33_000 + 31_000));
  assert.ok(health.tryStartProbe('w3', 33_000 + 61_000));
});

test('a fault of the whole fleet would quarantine every worker', () => {
  const health = makeWorkerHealth();
  healthyRuns(health);
  names.forEach((worker) => {
    for (let i = 0; i < 10; i++) {
      health.record({ worker, job: `f-${worker}-${i}`, failed: true, now: 5 });
    }
  });
  const closed = names.filter((worker) => health.penalty(worker, 6) === 1);
  assert.ok(closed.length <= 2, `${closed.length} quarantined`);
});

test.run();
