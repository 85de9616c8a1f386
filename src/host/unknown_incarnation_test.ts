import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type { WorkerStandin } from '../../platform/standin/mod.ts';
import { systemClock } from '../clock/mod.ts';
import { startTestCluster } from '../testing/site.ts';
import type { TestCluster } from '../testing/site.ts';

const test = suite('workers that are back and unknown');

/** Duration of the work before the crash; then the leases from the idle time, the longest ones, have almost ended. */
const busyMs = 2_000;
/** Longest lease that a worker grants. */
const maxLeaseMs = 6_000;
/** A worker that does not respond for this long needs a new session. */
const sessionEndMs = 3_500;
/** By then a start order without a response was repeated, or its task was started elsewhere and is done. */
const repeatMs = 1_500;
/** Number of the job whose only task may run once at a time. */
const longJobNumber = 0;

function makeJob(ms: number, count = 1) {
  const phase = { count, cpu: 1_000, mem_mb: 100, estimated_ms: ms, anti_affinity: 1 };
  return { spec: JSON.stringify({ ms, how: 'done' }), phases: [phase] };
}

function makeJobId(jobNumber: number): string {
  return jobNumber.toString(16).padStart(16, '0');
}

async function submit(cluster: TestCluster, jobNumber: number, job: object): Promise<string> {
  const path = `/batch/${makeJobId(jobNumber)}`;
  const { status } = await cluster.send('POST', path, { body: job });
  assert.is(status, 200);
  return path;
}

/** Runs short jobs on all workers, since a scheduler that stores nothing requests the longest leases. */
async function keepBusy(cluster: TestCluster): Promise<void> {
  const untilMs = performance.now() + busyMs;
  for (let jobNumber = 1; performance.now() < untilMs; jobNumber += 1) {
    const path = await submit(cluster, jobNumber, makeJob(20, cluster.standin.workers.length));
    await cluster.waitForState(path, 'completed');
  }
}

/** Returns the attempts of the task that have started. */
function listAttempts(cluster: TestCluster): number[] {
  return cluster
    .starts()
    .filter(({ task }) => task === `${makeJobId(longJobNumber)}.0.0.0`)
    .map(({ attempt }) => attempt);
}

/** Submits the job with one task, whose first start order gets no response until it is carried out. */
async function submitWithoutResponse(cluster: TestCluster, job: object) {
  const holdBackStart = async (worker: WorkerStandin) => ({
    worker,
    carryOut: await worker.holdBackStart(),
  });
  const heldBack = Promise.race(cluster.standin.workers.map(holdBackStart));
  await submit(cluster, longJobNumber, job);
  return heldBack;
}

// Guards against a second run of a task whose start was carried out by an incarnation that was not known yet.
[
  { responds: true, outcome: 'with a response', submittedAfterMs: 0 },
  // The renewal in flight times out soon afterwards, so that the start is sent only once.
  { responds: false, outcome: 'without a response', submittedAfterMs: 2_200 },
].forEach(({ responds, outcome, submittedAfterMs }) =>
  test(`a start that an unknown incarnation carried out ${outcome} ends before the task starts again`, async () => {
    const cluster = await startTestCluster({ hosts: 1, workers: 2 });
    try {
      await keepBusy(cluster);
      cluster.standin.workers.forEach((worker) => {
        worker.crash();
        worker.cutOffAfterStart({ responds });
      });
      await systemClock.sleep(submittedAfterMs);
      await submit(cluster, longJobNumber, makeJob(60_000));
      await systemClock.sleep(maxLeaseMs);
      assert.equal(listAttempts(cluster), [1]);
    } finally {
      await cluster.close();
    }
  }),
);

// Guards against a second run while a worker that nobody can reach carries out a start of its former incarnation.
test('a start that an unknown incarnation carries out seconds later ends before the task starts again', async () => {
  const cluster = await startTestCluster({ hosts: 1, workers: 2 });
  try {
    await keepBusy(cluster);
    const { worker, carryOut } = await submitWithoutResponse(cluster, makeJob(60_000));
    worker.setUnresponsive(true);
    worker.crash();
    await systemClock.sleep(5_000);
    await carryOut();
    await systemClock.sleep(maxLeaseMs);
    assert.equal(listAttempts(cluster), [1]);
  } finally {
    await cluster.close();
  }
});

// Guards against a second run of a task that was done meanwhile, by a repeat or on another worker.
[
  { isSilent: false, worker: 'a worker that responds' },
  { isSilent: true, worker: 'a worker that was out of reach for a while' },
].forEach(({ isSilent, worker: description }) =>
  test(`a start that ${description} has not carried out runs once if its next incarnation does`, async () => {
    const cluster = await startTestCluster({ hosts: 1, workers: 2 });
    try {
      await keepBusy(cluster);
      const { worker, carryOut } = await submitWithoutResponse(cluster, makeJob(100));
      worker.setUnresponsive(isSilent);
      await systemClock.sleep(sessionEndMs);
      worker.setUnresponsive(false);
      await systemClock.sleep(repeatMs);
      worker.setUnresponsive(true);
      worker.crash();
      await carryOut();
      worker.setUnresponsive(false);
      await cluster.waitForState(`/batch/${makeJobId(longJobNumber)}`, 'completed');
      assert.equal(listAttempts(cluster), [1]);
    } finally {
      await cluster.close();
    }
  }),
);

test.run();
