/* eslint-disable import-x/extensions -- a case is bundled */
/**
 * A gang fails once, one of its workers is cut off for a while, and the scheduler's process is killed: the
 * successor counts the one failure twice and gives the job up.
 */
import { isTroubled, makeId, runCase, sleep, waitFor } from '../lib-2/site.mjs';

const folder = 'review/7';
const workers = Array.from({ length: 6 }, (_, index) => ({
  id: `i-${index + 1}`,
  zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
  labels: ['a', `r1-${1 + (index % 3)}`],
  cpu: 8_000,
}));
const maxAttempts = 2;
const routes = [
  {
    name: 'plan',
    priority: 1,
    max_attempts: maxAttempts,
    target_factor: 3,
    target_latency_ms: 1_000,
  },
];
const tenants = [{ name: 'temple' }];
const taskMs = 3_000;
const cutMs = 5_500;
const killDelayMs = 1_000;
const watchedMs = 12_000;

async function play(site) {
  const job = { route: 'plan', id: makeId(), tenant: 'temple' };
  await site.submit({
    ...job,
    spec: { ms: taskMs, failures: 1 },
    phases: [{ count: 2, cpu: 6_000, mem_mb: 500, estimated_ms: taskMs, gang_scheduled: true }],
  });
  const hasBegun = () => site.fleet.filter((worker) => worker.running().length > 0).length === 2;
  if (!(await waitFor(hasBegun, 3_000))) throw new Error('the gang has not begun');
  const [, cut] = site.fleet.filter((worker) => worker.running().length > 0);
  if (isTroubled) {
    await sleep(taskMs - 500);
    cut.setCut(true);
    await sleep(500 + killDelayMs);
    site.killHost(site.findScheduler());
    await sleep(cutMs - 500 - killDelayMs);
    cut.setCut(false);
  }
  await sleep(watchedMs);

  const state = await site.getState(job);
  const attempts = new Set(
    site.events
      .filter(
        ({ kind, how, task = '' }) => kind === 'end' && how === 'failed' && task.startsWith(job.id),
      )
      .map(({ attempt }) => attempt),
  );
  site.note('asked for', { id: job.id, state, failedAttempts: [...attempts].join(',') });
  return state === 'failed' && attempts.size < maxAttempts
    ? [
        `LOST: ${job.id} is shown as failed after ${attempts.size} of ${maxAttempts} attempts of its gang`,
      ]
    : [];
}

await runCase({ folder, workers, routes, tenants }, play);
