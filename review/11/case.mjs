/* eslint-disable import-x/extensions -- scripts are bundled */
/**
 * A start order gets no answer; its worker crashes, comes back under its id and is cut off, and then carries
 * the order out. The task is started on another worker while it runs.
 */
import { makeJobId, makeRoute, makeTenant, runCase, sleep } from '../lib-3/deployment.mjs';
import { findOverlaps } from '../lib-3/late.mjs';
import { listRuns } from '../lib-3/rules.mjs';

const need = { cpu: 1_000, mem_mb: 512 };
const taskMs = 30_000;
const settleMs = 6_000;
/** The largest doses of the site file for a crash of workers and for a cut. */
const downMs = 4_500;
const cutMs = 5_500;
/** The order is carried out this long after the worker is back, within 2 to 12 s after it was sent. */
const lateMs = 1_000;
const afterMs = 6_000;

const job = {
  spec: JSON.stringify({ ms: taskMs }),
  phases: [{ count: 1, ...need, estimated_ms: taskMs }],
};

/** Orders beside the one that is late, whose share is then 0.04. */
const usual = {
  spec: JSON.stringify({ ms: 300 }),
  phases: [{ count: 24, ...need, estimated_ms: 300 }],
};
const usualMs = 1_500;

runCase(
  {
    workers: Array.from({ length: 8 }, () => ({})),
    routes: [makeRoute('plan')],
    tenants: [makeTenant('mill')],
  },
  async ({ fleet, makeClient, log }, hasTrouble) => {
    const client = makeClient('key-mill');
    await sleep(settleMs);
    await client.submit(`/plan/${makeJobId()}`, usual);
    await sleep(usualMs);
    const id = makeJobId();
    const held = hasTrouble
      ? Promise.race(fleet.map(async (worker) => ({ worker, order: await worker.holdNextStart() })))
      : undefined;
    if (!(await client.submit(`/plan/${id}`, job))) throw new Error('not accepted');
    if (held) {
      const { worker, order } = await held;
      fleet.forEach((each) => each.releaseHold());
      await worker.crash();
      await sleep(downMs);
      // Three heartbeats of silence.
      worker.expireEntry();
      worker.setCut(true);
      await worker.start();
      await sleep(lateMs);
      order.carryOut();
      await sleep(cutMs - lateMs);
      worker.setCut(false);
    }
    await sleep(afterMs);
    const runs = listRuns(fleet, id);
    const describe = ({ worker, attempt, startedAtMs, endedAtMs, how }) =>
      `attempt ${attempt} on ${worker} from ${Math.round(startedAtMs)} to ${endedAtMs === undefined ? 'the end' : Math.round(endedAtMs)} (${how ?? 'runs'})`;
    log('runs', { runs: runs.map(describe) });
    return findOverlaps(runs).map(
      ({ first, second, ms }) =>
        `TWICE: the task ${first.task} ran twice at the same time for ${Math.round(ms)} ms: ${describe(first)}, ${describe(second)}`,
    );
  },
);
