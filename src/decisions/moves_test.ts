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
  computeUsableFraction,
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

test('a service stays up while its replicas move, since they are not all restarted at once', () => {
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

test('a lost replica is replaced on another rack, so that the service stays redundant', () => {
  const makeReplica = (task: string, rack: string, state: Replica['state']): Replica => ({
    task,
    worker: task,
    rack,
    dataCentre: 'd1',
    state,
    leaving: false,
  });
  const steps = planService({ replicas: 2, spread: 'rack' }, [
    makeReplica('a', 'r1', 'running'),
    makeReplica('b', 'r2', 'lost'),
  ]);
  assert.is(steps.length, 1);
  assert.equal(steps[0]?.avoidRacks, ['r1']);
});

function makeTask(task: string, changes: Partial<WorkerTask> = {}): WorkerTask {
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

test('backfill that outlasts the reservation does not delay the oldest job', () => {
  const workers = [
    { id: 'w1', capacity, tasks: [makeTask('a'), makeTask('b', { expectedEndAt: 20_000 })] },
    { id: 'w2', capacity, tasks: [makeTask('c', { expectedEndAt: 90_000 })] },
  ];
  const reservation = planReservation({ size, workers, now: 1_000 });
  assert.is(reservation?.worker, 'w1');
  assert.is(reservation?.expectedAt, 20_000);
  assert.not(mayBackfill(reservation, { worker: 'w1', expectedEndAt: 20_001 }));
  assert.ok(mayBackfill(reservation, { worker: 'w1', expectedEndAt: 19_000 }));
  assert.ok(mayBackfill(reservation, { worker: 'w2', expectedEndAt: 99_000 }));
  // A later plan for the same worker must not delay the promised time.
  const laterWorkers = [{ id: 'w1', capacity, tasks: [makeTask('b', { expectedEndAt: 30_000 })] }];
  const laterPlan = planReservation({
    size,
    workers: laterWorkers,
    now: 2_000,
    former: reservation,
  });
  assert.not(mayBackfill(laterPlan, { worker: 'w1', expectedEndAt: 25_000 }));
});

test('a preemption stops no service and nothing without need, so that no work is lost', () => {
  const workers = [
    {
      id: 'w1',
      capacity,
      tasks: [makeTask('a', { service: true }), makeTask('b', { checkpoint: true })],
    },
    { id: 'w2', capacity, tasks: [makeTask('c'), makeTask('d', { checkpoint: true })] },
  ];
  const plan = planPreemption({ size, workers, now: 60_000 });
  assert.equal(plan.map(({ task }) => task).sort(), ['c', 'd']);
});

test('an evacuation is limited, so that it does not overload the other data centres', () => {
  const makeCandidate = (
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
    makeCandidate('young', { startedAt: 90_000 }),
    makeCandidate('old'),
    makeCandidate('service', { kind: 'service' }),
    makeCandidate('no-checkpoint', { checkpoint: false }),
    makeCandidate('due', { startedAt: 95_000, deadlineAt: 3_800_000 }),
  ];
  const options = { tasks, now: 100_000, tasksPerSecond: 3, intervalMs: 1_000 };
  const listMoves = (freeProcessors: number) =>
    planEvacuation({ ...options, freeProcessors }).map(({ task }) => task);
  assert.equal(listMoves(100), ['service', 'due', 'old']);
  assert.equal(listMoves(9), ['service', 'due']);
});

test('a returning data centre takes load gradually, so that it does not fail again', () => {
  const fractions = [0, 10_000, 40_000, 90_000].map((sinceMs) =>
    computeUsableFraction({ sinceMs, phase: 0.5 }),
  );
  assert.is(fractions[0], 0);
  assert.ok((fractions[1] ?? 0) < 0.4 && (fractions[2] ?? 0) < 1);
  assert.is(fractions[3], 1);
});

test('an expelled or partitioned process does not start work that may run elsewhere', () => {
  const partitioned = getPermissions({
    isFresh: false,
    isTableReachable: false,
    isExpelled: false,
  });
  assert.equal(
    [partitioned.canStartLookups, partitioned.canStartJobs, partitioned.canRenewLeases],
    [false, false, true],
  );
  const withoutTable = getPermissions({
    isFresh: true,
    isTableReachable: false,
    isExpelled: false,
  });
  assert.equal(
    [withoutTable.canStartLookups, withoutTable.canStartJobs, withoutTable.canChangeSettings],
    [true, false, false],
  );
  assert.not(
    getPermissions({ isFresh: true, isTableReachable: true, isExpelled: true }).canRenewLeases,
  );
});

test.run();
