import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { planOveruseActions, makeUsageEstimator } from './mod.ts';
import type { MeasuredTask } from './mod.ts';

const size = { processors: 2, memoryMb: 1_000, accelerators: 0, slots: 1 };
const need = { team: 'a', kind: 'batch' as const, size, estimateMs: 1_000 };

test('run times declared ten times too short do not break backfill', () => {
  const estimates = makeUsageEstimator();
  assert.is(estimates.estimateRunMs(need, 0.9), 1_000);
  for (let i = 0; i < 30; i++) {
    estimates.observe({ ...need, declared: size, runMs: 10_000 });
  }
  const learned = estimates.estimateRunMs(need, 0.9);
  assert.ok(learned > 8_000 && learned < 13_000, String(learned));
});

test('a learned size is never below the declared one, so that no worker is overcommitted', () => {
  const estimates = makeUsageEstimator();
  const used = { ...size, processors: 0.2, memoryMb: 5_000 };
  for (let i = 0; i < 30; i++) estimates.observe({ ...need, declared: size, used });
  const learned = estimates.estimateSize(need);
  assert.is(learned.processors, 2);
  assert.ok(learned.memoryMb >= 4_500, String(learned.memoryMb));
});

test('estimates for teams that no longer exist do not fill the memory', () => {
  const estimates = makeUsageEstimator();
  for (let i = 0; i < 5_000; i++) {
    estimates.observe({ ...need, team: `t${i}`, declared: size, runMs: 1 });
  }
  assert.ok(estimates.countEntries() <= 1_024);
});

function makeMeasuredTask(task: string, changes: Partial<MeasuredTask>): MeasuredTask {
  return { task, size, usage: size, checkpoint: false, service: false, ...changes };
}

const capacity = { processors: 8, memoryMb: 4_000, accelerators: 0, slots: 8 };

test('a task that exceeds its size does not exhaust the capacity of its host', () => {
  const tasks = [
    makeMeasuredTask('steady', {}),
    makeMeasuredTask('grows', {
      checkpoint: true,
      usage: { ...size, memoryMb: 2_200 },
      previous: { ...size, memoryMb: 1_500 },
    }),
  ];
  const curbs = planOveruseActions({ capacity, tasks });
  assert.equal(
    curbs.map(({ task, mode }) => [task, mode]),
    [['grows', 'checkpoint']],
  );
});

test('a task within its size is not stopped for the usage of another one', () => {
  const usage = { ...size, processors: 9 };
  const curbs = planOveruseActions({
    capacity,
    tasks: [makeMeasuredTask('a', {}), makeMeasuredTask('b', { usage })],
  });
  assert.equal(
    curbs.map(({ task, mode }) => [task, mode]),
    [['b', 'throttle']],
  );
});

test.run();
