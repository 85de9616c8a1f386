import { test } from 'uvu';
import * as assert from 'uvu/assert';

import { systemClock } from '../clock/mod.ts';
import { ErrorKind } from '../errors/mod.ts';
import type { Failure } from '../errors/mod.ts';
import { Invariant, makeInvariantChecker } from '../invariants/mod.ts';
import type { StartRequest } from '../schema/mod.ts';
import { startWorker } from '../standins/mod.ts';
import { workerDialects } from './mod.ts';

const clock = systemClock;
const size = { processors: 1, memoryMb: 1, accelerators: 0, slots: 1 };

async function setUp({ connections = 8 } = {}) {
  const standin = await startWorker({ clock, id: 'w1' });
  const violations: string[] = [];
  const invariants = makeInvariantChecker({ onViolation: (name) => violations.push(name) });
  const workers = workerDialects['http-json']({ clock, invariants, timeoutMs: 500 });
  const upstream = {
    ...{ id: 'w1', address: standin.address, port: standin.port, dataCentre: 'd1', region: 'r1' },
    ...{ rack: 'k1', capacity: size, connections, leaving: false, fencing: true },
  };
  const { clockMs } = (await workers.fence(upstream, { owner: 'm1', epoch: 1 })).unsafeCoerce();
  const makeLookup = (task: string, body: unknown = { runMs: 1 }): StartRequest => ({
    ...{ task, attempt: 1, epoch: 1, notAfterMs: clockMs + 5_000, team: 't', job: task },
    ...{ kind: 'lookup', size, idempotent: false, leaseMs: 30_000, body },
  });
  const close = async () => {
    await workers.close();
    await standin.close();
  };
  return { standin, workers, upstream, makeLookup, violations, close };
}

function kindOf(outcome: { extract(): unknown }): string {
  return (outcome.extract() as Failure).kind;
}

test('a truncated or mixed-up response must not be accepted', async () => {
  const { standin, workers, upstream, makeLookup, violations, close } = await setUp();
  const longBody = { runMs: 1, answer: 'x'.repeat(50_000) };
  standin.control({ stream: true });
  const complete = await workers.start(upstream, makeLookup('a', longBody));
  assert.equal(complete.map(({ body }) => body).extract(), {
    ...longBody,
    worker: 'w1',
    task: 'a',
  });
  standin.control({ cut: true });
  assert.is(
    kindOf(await workers.start(upstream, makeLookup('b', longBody))),
    ErrorKind.OutcomeUnknown,
  );
  standin.control({ stream: false, cut: false, mixUp: true });
  assert.is(kindOf(await workers.start(upstream, makeLookup('c'))), ErrorKind.OutcomeUnknown);
  assert.equal(violations, [Invariant.WholeAnswer]);
  await close();
});

test('a start that may have run must not be reported as not run', async () => {
  const { standin, workers, upstream, makeLookup, close } = await setUp();
  standin.faults.lose = 1;
  assert.is(kindOf(await workers.start(upstream, makeLookup('a'))), ErrorKind.OutcomeUnknown);
  const slowStart = workers.start(upstream, makeLookup('b', { runMs: 400 }), { timeoutMs: 50 });
  assert.is(kindOf(await slowStart), ErrorKind.OutcomeUnknown);
  await standin.refuseConnections(true);
  assert.is(kindOf(await workers.start(upstream, makeLookup('c'))), ErrorKind.WorkerUnreachable);
  assert.equal(
    standin.starts.map(({ task }) => task),
    ['a', 'b'],
  );
  await close();
});

test('a rejected start reported as unknown would never be retried', async () => {
  const { standin, workers, upstream, makeLookup, close } = await setUp();
  await workers.start(upstream, makeLookup('a'));
  assert.is(kindOf(await workers.start(upstream, makeLookup('a'))), ErrorKind.WorkerRefused);
  const lateRequest = { ...makeLookup('b'), notAfterMs: 1 };
  assert.is(kindOf(await workers.start(upstream, lateRequest)), ErrorKind.WorkerRefused);
  await workers.fence(upstream, { owner: 'm2', epoch: 2 });
  assert.is(kindOf(await workers.start(upstream, makeLookup('c'))), ErrorKind.EpochStale);
  assert.is(standin.starts.length, 1);
  await close();
});

test('a start that waits for a connection must not be sent after its timeout', async () => {
  const { standin, workers, upstream, makeLookup, close } = await setUp({ connections: 1 });
  const first = workers.start(upstream, makeLookup('a', { runMs: 200 }));
  const second = workers.start(upstream, makeLookup('b'), { timeoutMs: 30 });
  assert.is(kindOf(await second), ErrorKind.WorkerUnreachable);
  assert.ok((await first).isRight());
  assert.ok((await workers.start(upstream, makeLookup('c'))).isRight());
  assert.equal(
    standin.starts.map(({ task }) => task),
    ['a', 'c'],
  );
  await close();
});

test('control traffic must be counted without starts to be compared with its budget', async () => {
  const { workers, upstream, makeLookup, close } = await setUp();
  await workers.start(upstream, makeLookup('a', { runMs: 1, answer: 'x'.repeat(10_000) }));
  const { control, work } = workers.traffic('w1');
  assert.ok(work.bytesIn > 10_000);
  assert.ok(control.bytesIn > 100 && control.bytesIn < 1_000, String(control.bytesIn));
  await close();
});

test.run();
