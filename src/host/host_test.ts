import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { startTestCluster } from '../testing/site.ts';
import type { TestCluster } from '../testing/site.ts';

const test = suite('entry processes on the platform');

let jobNumber = 1;

function makeJobId(): string {
  jobNumber += 1;
  return jobNumber.toString(16).padStart(16, '0');
}

function makeJob(count: number, { ms = 20, cpu = 1_000, ...rest }: Record<string, unknown> = {}) {
  return {
    spec: JSON.stringify({ ms, how: rest.how ?? 'done' }),
    phases: [{ count, cpu, mem_mb: 100, estimated_ms: ms, ...rest }],
  };
}

async function withCluster(
  options: { hosts: number; workers: number; cpu?: number },
  run: (cluster: TestCluster) => Promise<void>,
): Promise<void> {
  const cluster = await startTestCluster(options);
  try {
    await run(cluster);
  } finally {
    await cluster.close();
  }
}

function getSchedulerIndex({ standin, hosts }: TestCluster): number {
  const claim = JSON.parse(standin.store.get('leadership', 'c0', 'claim')!) as { name: string };
  return hosts.findIndex((_, index) => claim.name === `entry-${index + 1}`);
}

/** Kills the scheduler, one of two processes; returns the index of the other. */
function killScheduler(cluster: TestCluster): number {
  const scheduler = getSchedulerIndex(cluster);
  cluster.hosts[scheduler]!.kill();
  return 1 - scheduler;
}

async function waitForCompletion(cluster: TestCluster, path: string, host: number): Promise<void> {
  let state: string | undefined;
  while (state !== 'completed') {
    ({
      body: { state },
    } = await cluster.send('GET', path, { host }));
  }
}

/** Fails if two runs of a task overlap, or if a task starts again after it was done. */
function assertSingleRuns(cluster: TestCluster): void {
  const byTask = new Map<string, ReturnType<TestCluster['starts']>>();
  cluster.starts().forEach((start) => {
    byTask.set(start.task, [...(byTask.get(start.task) ?? []), start]);
  });
  byTask.forEach((starts, task) => {
    const sorted = starts.sort((a, b) => a.atMs - b.atMs);
    sorted.slice(1).forEach((start, index) => {
      const before = sorted[index]!;
      assert.ok((before.endedMs ?? Infinity) <= start.atMs, `two runs of ${task} overlap`);
      assert.is.not(before.how, 'done', `${task} was started after it was done`);
    });
  });
}

test('a job with tickets runs to completion, with its steps in order', () =>
  withCluster({ hosts: 2, workers: 3 }, async (cluster) => {
    const path = `/urgent/${makeJobId()}`;
    const [phase] = makeJob(3).phases;
    const body = { ...makeJob(3), phases: [phase, { ...phase, count: 2, after: [0] }] };
    assert.is((await cluster.send('POST', path, { body })).status, 200);
    await cluster.waitForState(path, 'completed');
    const starts = cluster.starts();
    assert.is(starts.length, 5);
    const first = starts.filter(({ task }) => task.includes('.0.0.'));
    const second = starts.filter(({ task }) => task.includes('.0.1.'));
    const firstEnd = Math.max(...first.map(({ endedMs }) => endedMs!));
    assert.ok(
      second.every(({ atMs }) => atMs >= firstEnd),
      'the second step starts after the first has ended',
    );
    assertSingleRuns(cluster);
  }));

test('a job that is submitted to two entry processes, and again after its end, runs once', () =>
  withCluster({ hosts: 2, workers: 2 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    const responses = await Promise.all(
      [0, 1].map((host) => cluster.send('POST', path, { body: makeJob(2), host })),
    );
    assert.equal(
      responses.map(({ status }) => status),
      [200, 200],
    );
    await cluster.waitForState(path, 'completed');
    assert.is((await cluster.send('POST', path, { body: makeJob(2) })).status, 200);
    assert.is(cluster.starts().length, 2);
  }));

// Guards against a scheduler whose processor is used up by one HTTP exchange for each start and end.
test('the scheduler of a large fleet sends none of its start orders with its own connections', () =>
  withCluster({ hosts: 3, workers: 48 }, async (cluster) => {
    const scheduler = getSchedulerIndex(cluster);
    const runJob = async (tasks: number) => {
      const path = `/batch/${makeJobId()}`;
      await cluster.send('POST', path, { body: makeJob(tasks) });
      await cluster.waitForState(path, 'completed');
    };
    let before: number;
    do {
      before = cluster.sentStarts()[scheduler]!;
      await runJob(1);
    } while (cluster.sentStarts()[scheduler]! > before && cluster.starts().length < 400);
    await runJob(96);
    assert.is(cluster.sentStarts()[scheduler], before);
  }));

test('the jobs of a large fleet are completed though the relay of its workers is killed', () =>
  withCluster({ hosts: 3, workers: 48 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    await cluster.send('POST', path, { body: makeJob(96, { ms: 400 }) });
    await cluster.waitForState(path, 'in_progress');
    const scheduler = getSchedulerIndex(cluster);
    const relay = cluster.hosts.findIndex((_, index) => index !== scheduler);
    cluster.hosts[relay]!.kill();
    await waitForCompletion(cluster, path, scheduler);
    assertSingleRuns(cluster);
  }));

test('a cancelled job is stopped at its workers and shown as cancelled', () =>
  withCluster({ hosts: 1, workers: 1 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    await cluster.send('POST', path, { body: makeJob(2, { ms: 60_000 }) });
    await cluster.waitForState(path, 'in_progress');
    assert.is((await cluster.send('DELETE', path)).status, 200);
    await cluster.waitForState(path, 'cancelled');
    while (cluster.starts().some(({ how }) => how === undefined)) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    assert.ok(cluster.starts().every(({ how }) => how === 'stopped'));
  }));

// Guards against a scheduler that is replaced at each try to store such a job, and one that loses it.
test('a job that is larger than a row of the store is stored, and outlives the scheduler', () =>
  withCluster({ hosts: 2, workers: 2 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    const { spec, phases } = makeJob(1, { cpu: 10 });
    const body = { spec, phases: Array.from({ length: 400 }, () => phases[0]) };
    assert.is((await cluster.send('POST', path, { body })).status, 200);
    const survivor = killScheduler(cluster);
    await waitForCompletion(cluster, path, survivor);
    assert.is(new Set(cluster.starts().map(({ task }) => task)).size, 400);
    assertSingleRuns(cluster);
  }));

// Guards against a scheduler that ends or no longer follows the workers by an entry of another writer.
test('odd entries among those of the workers neither stop the jobs nor end the scheduler', () =>
  withCluster({ hosts: 1, workers: 2 }, async (cluster) => {
    const { store, workers } = cluster.standin;
    const good = workers[0]!.entry();
    store.put('servers', 'i-port', { ...good, address: '127.0.0.1:99999' });
    store.put('servers', 'i-large', { ...good, capacity: { cpu: 1e300, mem_mb: 1e300 } });
    store.put('servers', 'i-born', { ...good, born: -1 });
    store.putText('servers', 'i-nested', '['.repeat(40_000) + ']'.repeat(40_000));
    store.putText('servers', 'i-bytes', '\u0000\ufffd{');
    const path = `/batch/${makeJobId()}`;
    assert.is((await cluster.send('POST', path, { body: makeJob(40) })).status, 200);
    await cluster.waitForState(path, 'completed');
    // The watch goes on: the first worker leaves, and the second takes what follows.
    store.put('servers', workers[0]!.id, { ...good, state: 'draining' });
    const later = `/batch/${makeJobId()}`;
    await cluster.send('POST', later, { body: makeJob(4) });
    await cluster.waitForState(later, 'completed');
    const claim = JSON.parse(store.get('leadership', 'c0', 'claim')!) as { epoch: number };
    assert.is(claim.epoch, 1, 'the scheduler is still the first');
    assertSingleRuns(cluster);
  }));

test('a task that fails max_attempts times fails its job', () =>
  withCluster({ hosts: 1, workers: 2 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    await cluster.send('POST', path, { body: makeJob(1, { how: 'failed' }) });
    await cluster.waitForState(path, 'failed');
    assert.is(cluster.starts().length, 2);
  }));

test('unknown keys, queues and jobs get 401, 404 and 410, and an invalid body gets 400', () =>
  withCluster({ hosts: 1, workers: 1 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    assert.is((await cluster.send('POST', path, { body: makeJob(1), key: 'none' })).status, 401);
    assert.is((await cluster.send('GET', '/nowhere/')).status, 404);
    assert.is((await cluster.send('GET', path)).status, 410);
    assert.is((await cluster.send('DELETE', path)).status, 410);
    assert.is((await cluster.send('POST', path, { body: '{"spec":' })).status, 400);
    const cycle = { spec: '{}', phases: [{ count: 1, cpu: 1, after: [0] }] };
    assert.is((await cluster.send('POST', path, { body: cycle })).status, 400);
    assert.is((await cluster.send('POST', '/batch/xyz', { body: makeJob(1) })).status, 404);
    assert.is(await cluster.waitForPendingCount('/batch/'), 0);
  }));

test('a lost response of a worker does not start a task twice', () =>
  withCluster({ hosts: 1, workers: 2 }, async (cluster) => {
    cluster.standin.workers.forEach((worker) => worker.setLosingResponses(true));
    const path = `/batch/${makeJobId()}`;
    await cluster.send('POST', path, { body: makeJob(3, { ms: 50 }) });
    await cluster.waitForState(path, 'completed');
    assert.is(cluster.starts().length, 3);
  }));

test('another entry process takes over if the scheduler is killed, and no task runs twice', () =>
  withCluster({ hosts: 2, workers: 3 }, async (cluster) => {
    const paths = Array.from({ length: 6 }, () => `/batch/${makeJobId()}`);
    await Promise.all(
      paths.map((path) => cluster.send('POST', path, { body: makeJob(4, { ms: 900 }), host: 1 })),
    );
    await cluster.waitForState(paths[0]!, 'in_progress');
    const survivor = killScheduler(cluster);
    for (const path of paths) await waitForCompletion(cluster, path, survivor);
    assertSingleRuns(cluster);
  }));

test('a store that loses its responses neither loses nor duplicates a job', () =>
  withCluster({ hosts: 1, workers: 2 }, async (cluster) => {
    const before = `/batch/${makeJobId()}`;
    await cluster.send('POST', before, { body: makeJob(1) });
    await cluster.waitForState(before, 'completed');
    const path = `/batch/${makeJobId()}`;
    cluster.standin.store.setMode('loses-answers');
    const first = await cluster.send('POST', path, { body: makeJob(2) });
    // The scheduler finds out whether its transaction took effect; an entry process alone cannot.
    assert.ok([200, 504].includes(first.status), String(first.status));
    cluster.standin.store.setMode('well');
    assert.is((await cluster.send('POST', path, { body: makeJob(2) })).status, 200);
    await cluster.waitForState(path, 'completed');
    assert.is(cluster.starts().filter(({ task }) => task.startsWith(path.slice(-16))).length, 2);
  }));

test('a request gets 503 and Retry-After without delay while the store is down', () =>
  withCluster({ hosts: 1, workers: 1 }, async (cluster) => {
    cluster.standin.store.setMode('busy');
    // The first job after the outage began may already be in a transaction that is sent again later.
    const first = await cluster.send('POST', `/batch/${makeJobId()}`, { body: makeJob(1) });
    assert.ok([503, 504].includes(first.status), String(first.status));
    const path = `/batch/${makeJobId()}`;
    const refused = await cluster.send('POST', path, { body: makeJob(1) });
    assert.is(refused.status, 503);
    assert.is(refused.retryAfter, '1');
    cluster.standin.store.setMode('well');
    assert.is(cluster.starts().length, 0);
  }));

test('a store that loses its change history loses no job', () =>
  withCluster({ hosts: 1, workers: 1 }, async (cluster) => {
    const path = `/batch/${makeJobId()}`;
    cluster.standin.store.dropHistory();
    await cluster.send('POST', path, { body: makeJob(1) });
    cluster.standin.store.dropHistory();
    await cluster.waitForState(path, 'completed');
  }));

// Guards against a run that goes on after it was started elsewhere: a late renewal extended its lease.
test('a renewal that was meant for a former incarnation of a worker extends no lease of the next one', async () => {
  await withCluster({ hosts: 1, workers: 1 }, async (cluster) => {
    const [worker] = cluster.standin.workers;
    const carryOutLate = await worker!.holdBackRenewal();
    worker!.crash();
    // The scheduler has renewed the leases of the new incarnation when it sends the next renewal.
    await worker!.holdBackRenewal();
    const response = await carryOutLate();
    assert.is(response?.status, 409);
  });
});

test.run();
