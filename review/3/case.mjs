/**
 * Some clients cancel their jobs, on queues whose starts need tickets of the advice service.
 */
/* eslint-disable import-x/extensions -- esbuild bundles these modules under their full names */
/* eslint-disable no-await-in-loop -- each step waits for the one before on purpose */
import { isCalm, runCase } from '../lib/cluster.mjs';
import { sleep } from '../lib/http.mjs';

/** As in the site file of kereru-alms, for its round plans. */
const advice = { decisionMs: 530, periodMs: 7.6, validityMs: 2_000 };
const route = {
  priority: 1,
  maxAttempts: 2,
  targetFactor: 2.2,
  targetLatencyMs: 1_000,
  advice,
};
const services = ['ledger', 'desk', 'round', 'pledge', 'door'];
const options = {
  folder: 'review/3',
  workerCount: 2,
  cpu: 32_000,
  memoryMb: 65_536,
  routes: Object.fromEntries(services.map((service) => [service, { ...route, service }])),
  advice: { ...advice, allows: () => true },
};
const trafficMs = 75_000;
const intervalMs = 8_000;
const staggerMs = 1_600;
/** Delay of a small job after the large one of its round. */
const smallJobDelayMs = 5_000;
const watchMs = 8_000;
const workMs = 2_200;
/** Declared work; the tasks take somewhat less. */
const declaredMs = 2_700;
/** Of the five large jobs of a round, two are cancelled, each round those of other services. */
const cancelledOfFive = [0, 2];
/** The clients leave within half of the objective, 2.2 x 2.7 s + 1 s, after the acknowledgement. */
const minCancelMs = 2_500;
const maxCancelMs = 3_470;

runCase(options, async (cluster) => {
  const startMs = performance.now();
  const submissions = [];
  async function play(service, n) {
    const id = await cluster.submit(service, `${service}-${n}`, {
      spec: { ms: workMs },
      phases: [{ count: 8, cpu: 15_000, mem_mb: 9_000, estimated_ms: declaredMs }],
    });
    if (isCalm || !cancelledOfFive.includes((n + services.indexOf(service)) % 5)) return;
    await sleep(minCancelMs + Math.random() * (maxCancelMs - minCancelMs));
    await cluster.cancel(id);
  }
  /** A job of one task, which nobody cancels. */
  function playSmall(service, n) {
    return cluster.submit(service, `${service}-small-${n}`, {
      spec: { ms: workMs },
      phases: [{ count: 1, cpu: 15_000, mem_mb: 9_000, estimated_ms: declaredMs }],
    });
  }
  for (let n = 0; performance.now() - startMs < trafficMs; n += 1) {
    services.forEach((service, index) =>
      submissions.push(
        sleep(index * staggerMs).then(() => play(service, n)),
        sleep(index * staggerMs + smallJobDelayMs).then(() => playSmall(service, n)),
      ),
    );
    await sleep(intervalMs);
  }
  await Promise.all(submissions);
  return cluster.judge({ forMs: watchMs });
});
