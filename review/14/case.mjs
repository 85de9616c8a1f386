/* eslint-disable import-x/extensions -- scripts are bundled */
/**
 * A tenant's upper limit is lowered below the size of a single task. Jobs with such a task are accepted
 * and never started.
 */
import { performance } from 'node:perf_hooks';

import { makeJobId, makeRoute, makeTenant, runCase, sleep } from '../lib-3/deployment.mjs';
import { listRuns, watchIdleSpans } from '../lib-3/rules.mjs';

const need = { cpu: 4_000, mem_mb: 1_024 };
const taskMs = 800;
const limit = { cpu: 32_000, mem_mb: 65_536 };
const loweredLimit = { cpu: 3_000, mem_mb: 65_536 };
const settleMs = 3_000;
const finishMs = 14_000;
const idleMs = 3_000;
const marginMs = 500;
const watchedMs = 20_000;

const job = {
  spec: JSON.stringify({ ms: taskMs }),
  phases: [{ count: 2, ...need, estimated_ms: taskMs }],
};

runCase(
  {
    workers: Array.from({ length: 4 }, () => ({})),
    routes: [makeRoute('check')],
    tenants: [makeTenant('mill', { limit })],
  },
  async ({ fleet, makeClient, configure, log }, hasTrouble) => {
    const client = makeClient('key-mill');
    const needs = new Map();
    async function handIn() {
      const id = makeJobId();
      needs.set(`${id}.0`, need);
      return { id, isAccepted: await client.submit(`/check/${id}`, job) };
    }
    const before = await handIn();
    if (!before.isAccepted) throw new Error('the first job was not accepted');
    await sleep(settleMs);
    if (hasTrouble) configure({ tenants: [makeTenant('mill', { limit: loweredLimit })] });
    await sleep(settleMs);
    const { id, isAccepted } = await handIn();
    log('handed-in', { id, isAccepted });
    if (!isAccepted) return [];
    const fromMs = performance.now() + finishMs;
    const [span] = await watchIdleSpans(fleet, {
      needs,
      enoughMs: idleMs + marginMs,
      untilMs: fromMs + watchedMs,
      targets: [{ prefix: id, need, fromMs: () => fromMs }],
      mayCount: () => listRuns(fleet, id).length === 0,
    });
    const state = await client.getState(`/check/${id}`);
    log('job', {
      id,
      state,
      runs: listRuns(fleet, id).length,
      longestIdleMs: Math.round(span.longestMs),
    });
    return span.longestMs > idleMs + marginMs && (state === 'queued' || state === 'in_progress')
      ? [
          `LOST: the job ${id} was accepted and is ${state}, and nothing of it ran for ${Math.round(span.longestMs)} ms from 14 s after the end of the traffic`,
        ]
      : [];
  },
);
