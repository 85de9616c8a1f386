import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { makeRandom } from '../clock/mod.ts';
import {
  mayBackfill,
  getPermissions,
  planEvacuation,
  planPreemption,
  planReservation,
  planService,
  returningPart,
} from './mod.ts';
import type { WorkerTask, EvacuationCandidate, Replica } from './mod.ts';

function applySteps(replicas: Replica[], wanted: number, round: number): Replica[] {
  const steps = planService({ replicas: wanted, spread: 'rack' }, replicas);
  const stopped = steps.filter(({ action }) => action === 'stop').map(({ task }) => task);
  const started = steps
    .filter(({ action }) => action === 'start')
    .map((_, i): Replica => {
      const name = `${round}-${i}`;
      const place = { worker: name, rack: name, dataCentre: 'd2' };
      return { task: name, ...place, state: 'starting', leaving: false };
    });
  return [...replicas.filter(({ task }) => !stopped.includes(task)), ...started];
}

test('a service that is restarted all at once would be down', () => {
  const random = makeRandom(5);
  for (let run = 0; run < 200; run++) {
    const wanted = 1 + Math.floor(random() * 6);
    let replicas: Replica[] = Array.from({ length: wanted }, (_, i) => ({
      task: `t${i}`,
      worker: `w${i}`,
      rack: `r${i}`,
      dataCentre: 'd1',
      state: 'running',
      leaving: random() < 0.6,
    }));
    for (let round = 0; round < 40; round++) {
      replicas = applySteps(replicas, wanted, round);
      const running = replicas.filter(({ state }) => state === 'running').length;
      assert.ok(running >= wanted, `${running} of ${wanted} run`);
      assert.ok(replicas.length <= wanted + Math.max(1, Math.floor(wanted / 4)));
      replicas = replicas.map((replica) => ({ ...replica, state: 'running' }));
    }
    assert.is(replicas.filter(({ leaving }) => leaving).length, 0, 'all have moved');
  }
});

test('a lost replica that is not replaced, or on the same rack, would leave the service weak', () => {
  const replica = (task: string, rack: string, state: Replica['state']): Replica => ({
    task,
    worker: task,
    rack,
    dataCentre: 'd1',
    state,
    leaving: false,
  });
  const steps = planService({ replicas: 2, spread: 'rack' }, [
    replica('a', 'r1', 'running'),
    replica('b', 'r2', 'lost'),
  ]);
  assert.is(steps.length, 1);
  assert.equal(steps[0]?.avoidRacks, ['r1']);
});

function held(task: string, changes: Partial<WorkerTask> = {}): WorkerTask {
  return {
    task,
    size: { processors: 4, memoryMb: 0, accelerators: 0, slots: 1 },
    startedAt: 0,
    expectedEndAt: 10_000,
    checkpoint: false,
    service: false,
    ...changes,
  };
}

const capacity = { processors: 8, memoryMb: 100, accelerators: 0, slots: 8 };
const size = { processors: 8, memoryMb: 1, accelerators: 0, slots: 1 };

test('backfill that outlasts the reservation would delay the oldest job', () => {
  const workers = [
    { id: 'w1', capacity, tasks: [held('a'), held('b', { expectedEndAt: 20_000 })] },
    { id: 'w2', capacity, tasks: [held('c', { expectedEndAt: 90_000 })] },
  ];
  const reservation = planReservation({ size, workers, now: 1_000 });
  assert.is(reservation?.worker, 'w1');
  assert.is(reservation?.expectedAt, 20_000);
  assert.not(mayBackfill(reservation, { worker: 'w1', expectedEndAt: 20_001 }));
  assert.ok(mayBackfill(reservation, { worker: 'w1', expectedEndAt: 19_000 }));
  assert.ok(mayBackfill(reservation, { worker: 'w2', expectedEndAt: 99_000 }));
  // A later plan for the same worker must not put the promised time off.
  const late = [{ id: 'w1', capacity, tasks: [held('b', { expectedEndAt: 30_000 })] }];
  const next = planReservation({ size, workers: late, now: 2_000, former: reservation });
  assert.not(mayBackfill(next, { worker: 'w1', expectedEndAt: 25_000 }));
});

test('a preemption that stops a service, or work without need, would lose work', () => {
  const workers = [
    { id: 'w1', capacity, tasks: [held('a', { service: true }), held('b', { checkpoint: true })] },
    { id: 'w2', capacity, tasks: [held('c'), held('d', { checkpoint: true })] },
  ];
  const plan = planPreemption({ size, workers, now: 60_000 });
  assert.equal(plan.map(({ task }) => task).sort(), ['c', 'd']);
});

test('an evacuation without a limit would flood the other data centres', () => {
  const leaving = (
    task: string,
    changes: Partial<EvacuationCandidate> = {},
  ): EvacuationCandidate => ({
    task,
    kind: 'batch',
    processors: 4,
    startedAt: 0,
    remainingMs: 3_600_000,
    checkpoint: true,
    ...changes,
  });
  const tasks = [
    leaving('young', { startedAt: 90_000 }),
    leaving('old'),
    leaving('service', { kind: 'service' }),
    leaving('hard', { checkpoint: false }),
    leaving('due', { startedAt: 95_000, deadlineAt: 3_800_000 }),
  ];
  const options = { tasks, now: 100_000, tasksPerSecond: 3, intervalMs: 1_000 };
  const order = (freeProcessors: number) =>
    planEvacuation({ ...options, freeProcessors }).map(({ task }) => task);
  assert.equal(order(100), ['service', 'due', 'old']);
  assert.equal(order(9), ['service', 'due']);
});

test('a returning data centre that takes all load at once would fail again', () => {
  const parts = [0, 10_000, 40_000, 90_000].map((sinceMs) =>
    returningPart({ sinceMs, phase: 0.5 }),
  );
  assert.is(parts[0], 0);
  assert.ok((parts[1] ?? 0) < 0.4 && (parts[2] ?? 0) < 1);
  assert.is(parts[3], 1);
});

test('a process that was expelled or cut off would start work that runs elsewhere', () => {
  const cut = getPermissions({ isFresh: false, isTableReachable: false, isExpelled: false });
  assert.equal([cut.canStartLookups, cut.canStartJobs, cut.canRenewLeases], [false, false, true]);
  const away = getPermissions({ isFresh: true, isTableReachable: false, isExpelled: false });
  assert.equal(
    [away.canStartLookups, away.canStartJobs, away.canChangeSettings],
    [true, false, false],
  );
  assert.not(
    getPermissions({ isFresh: true, isTableReachable: true, isExpelled: true }).canRenewLeases,
  );
});

test.run();
