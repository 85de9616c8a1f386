/* eslint-disable no-await-in-loop, import-x/extensions -- scripts wait step by step and are bundled */
/**
 * A worker crashes and starts again under its id as another kind. Tasks that require its former kind are
 * started on it.
 */
import { makeJobId, makeRoute, makeTenant, runCase, sleep } from '../lib-3/deployment.mjs';

const need = { cpu: 8_000, mem_mb: 4_096 };
const requiredLabel = 'a';
const taskMs = 1_500;
const warmUpMs = 6_000;
const downMs = 3_000;
const betweenCrashesMs = 5_000;
const crashes = 4;
const workers = 8;
const submitIntervalMs = 250;

const job = {
  spec: JSON.stringify({ ms: taskMs }),
  phases: [{ count: 4, ...need, estimated_ms: taskMs, requirements: requiredLabel }],
};

runCase(
  {
    workers: Array.from({ length: workers }, () => ({ labels: [requiredLabel, 'r1-1'] })),
    routes: [makeRoute('check', { target_factor: 20, target_latency_ms: 60_000 })],
    tenants: [makeTenant('mill')],
  },
  async ({ fleet, makeClient }, hasTrouble) => {
    const client = makeClient('key-mill');
    let isOver = false;
    async function sendJobs() {
      while (!isOver) {
        await client.submit(`/check/${makeJobId()}`, job);
        await sleep(submitIntervalMs);
      }
    }
    const traffic = sendJobs();
    await sleep(warmUpMs);
    for (let index = 0; index < crashes; index += 1) {
      const worker = fleet[index];
      if (hasTrouble) await worker.crash();
      await sleep(downMs);
      if (hasTrouble) await worker.start(['b', 'r1-1']);
      await sleep(betweenCrashesMs);
    }
    isOver = true;
    await traffic;
    return fleet.flatMap(({ history }) =>
      history
        .filter(({ labels }) => !labels.includes(requiredLabel))
        .map(
          ({ task, attempt, worker, labels }) =>
            `ROUTE: ${task}, attempt ${attempt}, requires ${requiredLabel} and was started on ${worker}, whose labels are ${labels}`,
        ),
    );
  },
);
