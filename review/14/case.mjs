/* eslint-disable no-await-in-loop, import-x/extensions -- scripts wait step by step and are bundled */
/**
 * A sound task takes many times as long as was estimated. Its run is stopped again and again although it
 * progresses, and after some such stops nothing of the job runs.
 */
import { performance } from 'node:perf_hooks';

import { makeJobId, makeRoute, makeTenant, runCase, sleep } from '../lib-3/deployment.mjs';
import { listRuns, watchIdleSpans } from '../lib-3/rules.mjs';

const need = { cpu: 1_000, mem_mb: 512 };
const estimatedMs = 15_000;
const factor = 40;
/** With one long job among these, its share is 0.04. */
const soundJobs = 24;
const handInMs = 3_000;
const finishMs = 14_000;
const idleMs = 3_000;
const marginMs = 500;
const watchedMs = 60_000;

const makeBatch = (ms, estimateMs) => ({
  spec: JSON.stringify({ ms }),
  phases: [{ count: 1, ...need, estimated_ms: estimateMs }],
});

runCase(
  {
    workers: Array.from({ length: 3 }, () => ({})),
    routes: [makeRoute('plan'), makeRoute('check')],
    tenants: [makeTenant('mill')],
  },
  async ({ fleet, makeClient, log }, hasTrouble) => {
    const client = makeClient('key-mill');
    const long = makeJobId();
    const needs = new Map([[`${long}.0`, need]]);
    const handIn = async (path, job) => {
      if (!(await client.submit(path, job))) throw new Error(`${path} was not accepted`);
    };
    // The disruption: one job of 25, handed in within 3 s, takes 40 times as long.
    await handIn(
      `/plan/${long}`,
      makeBatch(hasTrouble ? estimatedMs * factor : estimatedMs, estimatedMs),
    );
    for (let index = 0; index < soundJobs; index += 1) {
      const id = makeJobId();
      needs.set(`${id}.0`, need);
      await handIn(`/check/${id}`, makeBatch(300, 300));
      await sleep(handInMs / soundJobs);
    }
    const trafficEndsAtMs = performance.now();
    let state;
    let isOver = false;
    async function pollState() {
      while (!isOver) {
        state = (await client.getState(`/plan/${long}`)) ?? state;
        await sleep(1_000);
      }
    }
    const polls = pollState();
    const [span] = await watchIdleSpans(fleet, {
      needs,
      enoughMs: idleMs + marginMs,
      untilMs: trafficEndsAtMs + finishMs + watchedMs,
      targets: [{ prefix: long, need, fromMs: () => trafficEndsAtMs + finishMs }],
      mayCount: () => state === 'queued' || state === 'in_progress',
    });
    isOver = true;
    await polls;
    const runs = listRuns(fleet, long);
    log('long-job', {
      state,
      runs: runs.map(({ worker, attempt, startedAtMs, endedAtMs, how }) => ({
        worker,
        attempt,
        how,
        ms: endedAtMs === undefined ? undefined : Math.round(endedAtMs - startedAtMs),
      })),
      longestIdleMs: Math.round(span.longestMs),
    });
    const stopped = runs.filter(({ how }) => how === 'stopped').length;
    return span.longestMs > idleMs + marginMs
      ? [
          `LOST: nothing of the job ${long} ran for ${Math.round(span.longestMs)} ms, after ${stopped} of its ${runs.length} runs were stopped`,
        ]
      : [];
  },
);
