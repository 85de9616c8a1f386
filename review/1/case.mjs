/**
 * A large job is handed in whose progress, as the scheduler stores it, outgrows a row of the store.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
import { isCalm, runCase } from '../lib/cluster.mjs';
import { sleep } from '../lib/http.mjs';

const options = {
  folder: 'review/1',
  workerCount: 12,
  cpu: 32_000,
  memoryMb: 65_536,
  routes: {
    batch: {
      service: 'ledger',
      priority: 2,
      maxAttempts: 3,
      targetFactor: 4,
      targetLatencyMs: 3_000,
    },
    urgent: {
      service: 'ledger',
      priority: 0,
      maxAttempts: 4,
      targetFactor: 1.5,
      targetLatencyMs: 250,
    },
  },
};
const trafficMs = 35_000;
const largeJobAtMs = 6_000;
const intervalMs = 500;

/**
 * Three steps of 150 tasks, eight times: the widest steps of the site files, as often as they name. Without
 * the disruption the same job runs once.
 */
const largeJob = {
  spec: { ms: 2_400, saves: true },
  phases: [0, 1, 2].map((step) => ({
    count: 150,
    cpu: 400,
    mem_mb: 256,
    estimated_ms: 2_400,
    checkpointing: true,
    ...(step > 0 ? { after: [step - 1] } : {}),
  })),
  repeat_count: isCalm ? 1 : 8,
  interval_ms: 2_000,
};

runCase(options, async (cluster) => {
  const startMs = performance.now();
  const submissions = [];
  let isLargeJobSent = false;
  for (let n = 0; performance.now() - startMs < trafficMs; n += 1) {
    if (!isLargeJobSent && performance.now() - startMs >= largeJobAtMs) {
      isLargeJobSent = true;
      submissions.push(
        cluster.submit('batch', 'large', { ...largeJob, start_at_ms: Date.now() + 1_000 }),
      );
    }
    submissions.push(
      cluster.submit('urgent', `lookup-${n}`, {
        spec: { ms: 600 },
        phases: [{ count: 2, cpu: 2_600, mem_mb: 512, estimated_ms: 600 }],
      }),
    );
    await sleep(intervalMs);
  }
  await Promise.all(submissions);
  // A timed job is left out of the waits, since its turn comes several times.
  const problems = await cluster.judge({ forMs: 8_000, isAsked: ({ name }) => name !== 'large' });
  return problems;
});
